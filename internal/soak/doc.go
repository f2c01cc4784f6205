// Package soak runs the real programs as processes on real sockets under faults and
// checks from what callers and targets see that every promise is kept. The faults are
// drawn from a seed; the verdict rests on what was seen, not on how fast it came.
package soak
