package command

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/settings"
)

func TestExamplesAreFine(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/entryd.jsonc")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(paths), 2) // one for each user
	for _, path := range paths {
		s := Defaults()
		is.NoErr(settings.Load(path, &s))
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	s := Defaults()
	err := settings.Parse("f", []byte(`{"name": "e", "callers": "nowhere", "organisations": [{"name": "a", "key_sha256": "short"}]}`), &s)
	faults, ok := err.(settings.Faults)
	is.True(ok)
	fields := map[string]bool{}
	for _, f := range faults {
		fields[f.Field] = true
	}
	for _, want := range []string{"zone", "callers", "link", "operations", "platform_log", "reservation_keys", "organisations[0].key_sha256"} {
		is.True(fields[want]) // every fault is told
	}
}

func TestBudgetsHoldAtFullSize(t *testing.T) {
	is := is.New(t)
	const entries = 400
	exchanged := float64(gossipCopies*recordBytes*entries) / recordRefresh(entries).Seconds()
	is.True(exchanged <= gossipBytesPerSecond+1)
	appends := entries / claimInterval(entries).Seconds()
	is.True(appends <= claimAppends+1)
}

func TestStartingEntryIsNotInAddressAnswers(t *testing.T) {
	is := is.New(t)
	me := newSelf(Defaults())
	is.Equal(len(addresses([]membership.Record{me.record(0, 1)}, "a")), 0)
	is.Equal(me.arrived(waitHosts), false)
	is.Equal(me.arrived(waitHosts), false)
	is.True(me.arrived(waitConfiguration)) // the last thing it waited for
	is.Equal(len(addresses([]membership.Record{me.record(0, 1)}, "a")), 1)
	me.leave()
	is.Equal(len(addresses([]membership.Record{me.record(0, 1)}, "a")), 0)
}
