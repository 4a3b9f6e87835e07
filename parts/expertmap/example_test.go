package expertmap_test

import (
	"fmt"

	"camphormill.dev/parts/expertmap"
)

func ExampleSchedule() {
	s := expertmap.Schedule{{From: 0, Map: 7}}.With(expertmap.Segment{From: 40, Map: 9})
	fmt.Println(s.At(39), s.At(40))
	// Output: 7 9
}

func ExampleRank() {
	r := expertmap.NewRank(expertmap.RankConfig{Rank: 0, Incarnation: "a", Window: 2, Completed: expertmap.NoStep})
	schedule := expertmap.Schedule{{From: 0, Map: 7}}
	for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit, expertmap.OrderResume} {
		r, _ = r.WithOrder(expertmap.Order{Kind: kind, Fence: 1, Incarnation: "a", Schedule: schedule})
	}
	_, permits := r.WithPermits()
	fmt.Println("before the weights:", permits)
	_, permits = r.WithLoaded(7).WithPermits()
	fmt.Println("after:", permits)
	// Output:
	// before the weights: []
	// after: [{0 1 7}]
}

func ExampleCoordinator() {
	c := expertmap.NewCoordinator(expertmap.CoordinatorConfig{Fence: 1, Ranks: 1, Window: 2, Wanted: 7})
	r := expertmap.NewRank(expertmap.RankConfig{Rank: 0, Incarnation: "a", Window: 2, Completed: expertmap.NoStep}).WithLoaded(7)
	for c.Phase() != expertmap.PhaseDone {
		fmt.Print(c.Phase(), " ")
		var status expertmap.Status
		r, status = r.WithOrder(c.Orders()[0])
		c = c.WithStatus(status)
	}
	fmt.Println(c.Phase(), r.Status().Schedule)
	// Output: read load freeze commit resume read done [{0 7}]
}
