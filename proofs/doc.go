// Package proofs drives the daemons' own parts (the gate of targetd; pool,
// dispatch and claims of entryd) through seeded schedules of failures, with a
// fake clock and an in-memory network, and checks the histories of their callers
// against what must always hold. It has tests only; see docs/PROOFS.md.
package proofs
