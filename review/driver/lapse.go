package main

import (
	"time"
)

const (
	// outage is how long the store gives no answer, and lapseAfter when the registry's entries are removed:
	// after three intervals of heartbeatMs without a heartbeat.
	outage     = 4500 * time.Millisecond
	lapseAfter = 3600 * time.Millisecond
	// registerWithin is the time after the store's return in which the servers register again.
	registerWithin = 1500 * time.Millisecond
)

// lapsedRegistry lets the store give no answers for some seconds, in which the entries of its registry
// lapse. The servers live on and register again, each as it was, within two seconds of the store's return. Of the
// requests that are sent later than recoveryS after that, a quarter at least has to be served, since all
// were before.
func lapsedRegistry(f *fleet, trouble bool) (bool, error) {
	_, plain, err := f.startTargets(0, 3, 0, 0)
	if err != nil {
		return false, err
	}
	if err := f.publish(); err != nil {
		return false, err
	}
	entries, err := f.startAll(3, 0)
	if err != nil {
		return false, err
	}
	before, sent := f.servedShare(entries)
	f.record.printf("before the fault %d of %d requests are served", before, sent)
	if trouble {
		f.record.printf("the store gives no answer")
		f.store.setSilent(true)
		time.Sleep(lapseAfter)
		for _, t := range plain {
			f.record.printf("the registry's entry of %s lapses", t.id)
			if err := f.store.put("keyed.servers", t.id, nil); err != nil {
				return false, err
			}
		}
		time.Sleep(outage - lapseAfter)
		f.record.printf("the store answers again")
		f.store.setSilent(false)
		for i, t := range plain {
			time.Sleep(registerWithin / time.Duration(len(plain)))
			f.record.printf("%s registers again", t.id)
			if err := f.registerTarget(t, octetServices+i); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recoveryTime + time.Second)
	for _, e := range entries {
		f.record.printf("%s says that it is ready: %t", e.name, f.ready(e))
	}
	after, sent := f.servedShare(entries)
	f.record.printf("later than recoveryS after the store is back %d of %d requests are served", after, sent)
	return 4*after < sent, nil
}
