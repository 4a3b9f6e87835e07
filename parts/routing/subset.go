package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the targets that an entry connects to: the first size targets by
// rendezvous hashing. Adding or removing a target or an entry therefore changes few
// links, and every target is linked by about the same number of entries. If there are
// at most size targets, Subset returns the slice targets itself.
func Subset(entry string, targets []string, size int) []string {
	if len(targets) <= size {
		return targets
	}
	type candidate struct {
		name string
		hash uint64
	}
	candidates := make([]candidate, 0, len(targets))
	for _, name := range targets {
		candidates = append(candidates, candidate{name: name, hash: xxhash.Sum64String(entry + "\x00" + name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	chosen := make([]string, 0, size)
	for _, c := range candidates[:size] {
		chosen = append(chosen, c.name)
	}
	return chosen
}
