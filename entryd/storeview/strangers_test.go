package storeview_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
)

// TestStrangersTargetsDoNotFillRegistry guards against memory that grows with the targets in updates of peers.
func TestStrangersTargetsDoNotFillRegistry(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.storeCutOff[0].Store(true)
	v := f.views[0]
	const batch, most = 1000, 16384
	for from := int64(1); from < 18*batch; from += batch {
		update := mesh.StoreUpdate{Configuration: 1, From: from, End: from + batch, RegistryRead: true}
		for i := range int64(batch) {
			update.Targets = append(update.Targets, fmt.Appendf(nil, "+stranger-%d", from+i))
		}
		v.ApplyUpdate("stranger", update)
	}
	is.True(v.Targets().Len() > 1)
	is.True(v.Targets().Len() <= most)
}
