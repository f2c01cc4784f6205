// Package hangup makes a process ignore the signal SIGHUP from before its Go runtime starts. The default
// action, which holds until main is reached otherwise, ends the process. A program imports it for this
// effect and handles the signal by signal.Notify later. Without cgo it has no effect.
package hangup
