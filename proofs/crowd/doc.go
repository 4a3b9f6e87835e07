// Package crowd tests the daemons against crowds of clients that do not behave. It has tests only, with the build tag crowd.
package crowd
