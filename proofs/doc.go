// Package proofs tests the parts of the daemons (the gate and the group drivers of
// targetd; the pool, dispatcher, claims and configuration of entryd) under seeded
// schedules of faults, with a fake clock and an in-memory network. Checkers compare
// the recorded histories of the callers and engines with the guarantees of the
// system. The package has tests only; see docs/PROOFS.md.
package proofs
