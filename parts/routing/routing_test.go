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
			Name: fmt.Sprintf("t%d", i), Zone: "a", Kind: contract.WorkDraft, ServiceName: "m", Version: "v1",
			Load: contract.Load{Capacity: 8}, Connected: true,
		}
	}
	return all
}

func policyConfig() routing.PolicyConfig {
	return routing.PolicyConfig{Uint64N: rand.New(rand.NewPCG(1, 1)).Uint64N}
}

func request() routing.Request {
	return routing.Request{Kind: contract.WorkDraft, ServiceName: "m", Zone: "a"}
}

func TestEveryPolicyPicksOnlyEligibleTargets(t *testing.T) {
	makeIneligible := map[string]func(t *routing.Target){
		"leaving":       func(t *routing.Target) { t.Leaving = true },
		"unreached":     func(t *routing.Target) { t.Connected = false },
		"other model":   func(t *routing.Target) { t.ServiceName = "other" },
		"other kind":    func(t *routing.Target) { t.Kind = contract.WorkService },
		"other version": func(t *routing.Target) { t.Version = "v2" },
	}
	policies := []routing.Policy{
		routing.NewScored(policyConfig()), routing.NewRandom(policyConfig()), routing.NewRoundRobin(), routing.NewLeastReported(),
	}
	for _, policy := range policies {
		for name, modify := range makeIneligible {
			t.Run(policy.Name+" "+name, func(t *testing.T) {
				is := is.New(t)
				all := targets(20)
				for i := range all {
					if i != 13 {
						modify(&all[i])
					}
				}
				q := request()
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

func TestScoredPrefersIdleTarget(t *testing.T) {
	is := is.New(t)
	all := targets(4)
	for i := range 3 {
		all[i].Load.Running = 8
	}
	policy := routing.NewScored(policyConfig())
	picks := 0
	for range 100 {
		if policy.Pick(request(), all) == 3 {
			picks++
		}
	}
	is.True(picks > 60) // the idle target is among the four draws in about 68 of 100 picks
}

func TestSubsetKeepsMostLinksWhenTargetsLeave(t *testing.T) {
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
	lost := 0
	for _, name := range before {
		if !after[name] {
			lost++
		}
	}
	is.True(lost <= 3) // each of the 10 removed targets is in the subset with probability 32/1000
}

func BenchmarkScored1000(b *testing.B) {
	all := targets(1000)
	policy := routing.NewScored(policyConfig())
	b.ReportAllocs()
	for b.Loop() {
		policy.Pick(request(), all)
	}
}

func ExampleSubset() {
	fmt.Println(routing.Subset("entry-1", []string{"t1", "t2", "t3", "t4"}, 2))
	// Output: [t3 t2]
}
