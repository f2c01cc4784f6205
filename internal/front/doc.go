// Package front serves callers over a barleystep.Protocol. A request is an
// Exchange that passes through a Pipeline of stages: route, authenticate, read
// and deliver. Bodies and streams pass through as bytes; only the borders and
// ids of events are looked at.
package front
