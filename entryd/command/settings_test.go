package command

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/settings"
)

func TestExampleSettingsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/entryd.jsonc")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(paths), 2) // examples/consorcio and examples/majlis
	for _, path := range paths {
		s := Defaults()
		is.NoErr(settings.Load(path, &s))
	}
}

func TestAllFaultsAreReported(t *testing.T) {
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
		is.True(fields[want]) // every fault is reported
	}
}

func TestBudgetsHoldWith400Entries(t *testing.T) {
	is := is.New(t)
	const entries = 400
	bytesPerSecond := float64(transfersPerRecord*recordBytes*entries) / recordRefresh(entries).Seconds()
	is.True(bytesPerSecond <= gossipBytesPerSecond+1)
	appends := entries / claimInterval(entries).Seconds()
	is.True(appends <= claimAppendsPerSecond+1)
}

func TestStartingEntryIsNotInAddressAnswers(t *testing.T) {
	is := is.New(t)
	entry := newEntryState(Defaults())
	is.Equal(len(callerAddresses([]membership.Record{entry.record(0, 1)}, "a")), 0)
	is.Equal(entry.markAvailable(needHostList), false)
	is.Equal(entry.markAvailable(needHostList), false)
	is.True(entry.markAvailable(needConfiguration)) // the last thing missing
	is.Equal(len(callerAddresses([]membership.Record{entry.record(0, 1)}, "a")), 1)
	entry.setLeaving()
	is.Equal(len(callerAddresses([]membership.Record{entry.record(0, 1)}, "a")), 0)
}

// TestLeavingEntryDoesNotBecomeReady guards against an entry that is stopped during its start and reports that it is ready when
// its configuration comes.
func TestLeavingEntryDoesNotBecomeReady(t *testing.T) {
	is := is.New(t)
	entry := newEntryState(Defaults())
	is.Equal(entry.markAvailable(needHostList), false)
	entry.setLeaving()
	is.Equal(entry.markAvailable(needConfiguration), false)
}

func TestStopTimeoutMustCoverAddressTTL(t *testing.T) {
	is := is.New(t)
	for stopWithin, want := range map[string]bool{"10s": true, "11s": true, "12s": false} { // the default address_ttl is 10s
		s := Defaults()
		faults, _ := settings.Parse("f", []byte(`{"stop_within": "`+stopWithin+`"}`), &s).(settings.Faults)
		refused := slices.ContainsFunc(faults, func(f settings.Fault) bool { return f.Field == "stop_within" })
		is.Equal(refused, want)
	}
}
