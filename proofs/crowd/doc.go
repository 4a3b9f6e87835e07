// Package crowd tests that clients that do not behave cannot make a daemon of the users' platform hold
// more memory or descriptors than its settings allow. Each test starts the real program as a process,
// lowers its limits, lets a crowd of clients loose on it and checks that the process lives, that its
// memory and its open descriptors stay below the limits, and that ordinary callers are answered. The
// package has tests only, with the build tag crowd: they must run apart from other load.
package crowd
