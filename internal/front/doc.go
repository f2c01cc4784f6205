// Package front serves callers over a barleystep.Protocol. Each request is an Exchange that passes
// through a Pipeline of stages: route, authenticate, read and deliver. Bodies and streams are
// relayed as bytes; only the boundaries and ids of events are parsed.
package front
