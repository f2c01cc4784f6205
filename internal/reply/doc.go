// Package reply sends answers to callers. An answer has one immutable head that comes from a single
// source: a target's answer, or the box itself. Only the Writer holds the caller's
// http.ResponseWriter, so that no answer contains parts of another one.
package reply
