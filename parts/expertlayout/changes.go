package expertlayout

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// Changes are the differences of a layout from another one, its base.
type Changes struct {
	Base   Checksum `json:"base"`   // of the layout to which the changes apply
	Result Checksum `json:"result"` // of the layout with the changes
	// Sets, Ranks and Experts are the dimensions of both layouts.
	Sets    int `json:"sets"`
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"` // in each set
	// Encoded lists the experts of each rank that changes, in varints: the set, the rank, the number of
	// experts and the experts.
	Encoded []byte `json:"encoded"`
}

// Diff returns the changes from one layout to another with the same dimensions. experts is the number
// of experts in each set.
func Diff(base, next Layout, experts int) Changes {
	c := Changes{Base: base.Checksum(), Result: next.Checksum(), Sets: len(next), Experts: experts}
	base, next = base.Sorted(), next.Sorted()
	for s := range next {
		c.Ranks = len(next[s])
		for r := range next[s] {
			if slices.Equal(base[s][r], next[s][r]) {
				continue
			}
			c.Encoded = binary.AppendUvarint(c.Encoded, uint64(s))
			c.Encoded = binary.AppendUvarint(c.Encoded, uint64(r))
			c.Encoded = appendInts(c.Encoded, next[s][r])
		}
	}
	return c
}

// UnknownBaseError reports changes against a layout that the receiver does not have.
type UnknownBaseError struct{ Base Checksum }

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("changes apply to the unknown layout %x; send the whole layout", uint64(e.Base))
}

// apply returns the layout with the changes to base, which it leaves as it is. It returns an error if
// the changes cannot be decoded or do not have the announced result.
func (c Changes) apply(base Layout) (Layout, error) {
	next := make(Layout, len(base))
	for s := range base {
		next[s] = slices.Clone(base[s])
	}
	d := decoder{c.Encoded}
	for len(d.raw) > 0 {
		set, err := d.next()
		if err != nil {
			return nil, err
		}
		rank, err := d.next()
		if err != nil || set >= len(next) || rank >= len(next[set]) {
			return nil, errEncoding
		}
		if next[set][rank], err = d.ints(); err != nil {
			return nil, err
		}
	}
	if next.Checksum() != c.Result {
		return nil, &UnknownBaseError{Base: c.Base}
	}
	return next, nil
}

// maxKnown is the number of layouts that a Known keeps: that of the map in force, and those of the
// switch that is under way and of one that was rolled back.
const maxKnown = 3

// Known holds the layouts that a daemon has received lately. The zero value holds none. A Known is not
// safe for concurrent use.
type Known struct {
	checksums []Checksum // oldest first
	layouts   []Layout
}

// Add adds a layout, in place of the one that was used longest ago if there are too many.
func (k *Known) Add(l Layout) { k.add(l.Checksum(), l) }

func (k *Known) add(sum Checksum, l Layout) {
	if at := slices.Index(k.checksums, sum); at >= 0 {
		k.checksums, k.layouts = slices.Delete(k.checksums, at, at+1), slices.Delete(k.layouts, at, at+1)
	}
	k.checksums, k.layouts = append(k.checksums, sum), append(k.layouts, l)
	if len(k.layouts) > maxKnown {
		k.checksums, k.layouts = slices.Delete(k.checksums, 0, 1), slices.Delete(k.layouts, 0, 1)
	}
}

// Apply returns the layout that the changes lead to, and adds it. The base is one of the known layouts
// or the round-robin layout. The error is an UnknownBaseError if it is neither; nothing is applied then.
func (k *Known) Apply(c Changes) (Layout, error) {
	if at := slices.Index(k.checksums, c.Result); at >= 0 {
		return k.layouts[at], nil // a repeated message
	}
	base, err := k.base(c)
	if err != nil {
		return nil, err
	}
	next, err := c.apply(base)
	if err != nil {
		return nil, err
	}
	k.add(c.Base, base) // in use, so it is kept longer
	k.add(c.Result, next)
	return next, nil
}

func (k *Known) base(c Changes) (Layout, error) {
	if at := slices.Index(k.checksums, c.Base); at >= 0 {
		return k.layouts[at], nil
	}
	if c.Sets < 1 || c.Ranks < 1 || c.Experts < 1 || c.Sets > maxValue || c.Ranks > maxValue || c.Experts > maxValue || c.Sets*c.Experts > maxLayoutExperts {
		return nil, errEncoding
	}
	if initial := RoundRobin(c.Sets, c.Ranks, c.Experts); initial.Checksum() == c.Base {
		return initial, nil
	}
	return nil, &UnknownBaseError{Base: c.Base}
}

// maxLayoutExperts bounds the experts of all sets for which a round-robin layout is built.
const maxLayoutExperts = 1 << 20
