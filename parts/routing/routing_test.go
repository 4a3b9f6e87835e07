package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/routing"
)

func targets(n int) []routing.Target {
	all := make([]routing.Target, n)
	for i := range all {
		all[i] = routing.Target{
			Name: fmt.Sprintf("t%d", i), Zone: "a", Kind: contract.WorkDraft, Serves: "m", Version: "v1",
			Load: contract.Load{Capacity: 8}, Reached: true,
		}
	}
	return all
}

func config() routing.PolicyConfig {
	return routing.PolicyConfig{Uint64N: rand.New(rand.NewPCG(1, 1)).Uint64N}
}

func query() routing.Request {
	return routing.Request{Kind: contract.WorkDraft, Serves: "m", Zone: "a"}
}

func TestEveryPolicyPicksOnlyEligibleTargets(t *testing.T) {
	spoil := map[string]func(t *routing.Target){
		"leaving":       func(t *routing.Target) { t.Leaving = true },
		"unreached":     func(t *routing.Target) { t.Reached = false },
		"other model":   func(t *routing.Target) { t.Serves = "other" },
		"other kind":    func(t *routing.Target) { t.Kind = contract.WorkService },
		"other version": func(t *routing.Target) { t.Version = "v2" },
	}
	policies := []routing.Policy{
		routing.NewScored(config()), routing.NewRandom(config()), routing.NewRoundRobin(), routing.NewLeastReported(),
	}
	for _, policy := range policies {
		for name, f := range spoil {
			t.Run(policy.Name+" "+name, func(t *testing.T) {
				is := is.New(t)
				all := targets(20)
				for i := range all {
					if i != 13 {
						f(&all[i])
					}
				}
				q := query()
				q.Version = "v1"
				for range 50 {
					is.Equal(policy.Pick(q, all), 13)
				}
				q.Excluded = map[string]bool{"t13": true}
				is.Equal(policy.Pick(q, all), -1)
			})
		}
	}
}

func TestScoredAvoidsTheLoaded(t *testing.T) {
	is := is.New(t)
	all := targets(4)
	for i := range 3 {
		all[i].Load.Running = 8
	}
	policy := routing.NewScored(config())
	hits := 0
	for range 100 {
		if policy.Pick(query(), all) == 3 {
			hits++
		}
	}
	is.True(hits > 60) // it is among the four compared more often than not
}

func TestSubsetMovesFewLinks(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 1000 {
		names = append(names, fmt.Sprintf("t%d", i))
	}
	before := routing.Subset("entry-1", names, 32)
	after := map[string]bool{}
	for _, name := range routing.Subset("entry-1", names[:990], 32) {
		after[name] = true
	}
	moved := 0
	for _, name := range before {
		if !after[name] {
			moved++
		}
	}
	is.True(moved <= 3) // about 32 of 1000 for each target that went
}

func BenchmarkScored1000(b *testing.B) {
	all := targets(1000)
	policy := routing.NewScored(config())
	b.ReportAllocs()
	for b.Loop() {
		policy.Pick(query(), all)
	}
}

func ExampleSubset() {
	fmt.Println(routing.Subset("entry-1", []string{"t1", "t2", "t3", "t4"}, 2))
	// Output: [t3 t2]
}
