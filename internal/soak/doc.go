// Package soak runs the real programs as processes on real sockets, injects faults drawn from a
// seed, and checks every guarantee against what callers and targets observed. The checks depend on
// what was observed, not on how fast it happened.
package soak
