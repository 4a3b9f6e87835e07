package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the targets that an entry links to: the size best by
// rendezvous hashing, so that adding or removing a target or an entry moves few
// links and every target has about as many entries as any other.
func Subset(entry string, targets []string, size int) []string {
	if len(targets) <= size {
		return targets
	}
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, 0, len(targets))
	for _, name := range targets {
		all = append(all, ranked{name: name, rank: xxhash.Sum64String(entry + "\x00" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	chosen := make([]string, 0, size)
	for _, r := range all[:size] {
		chosen = append(chosen, r.name)
	}
	return chosen
}
