// Package reply sends answers to callers. An answer has one head, which is made whole
// from one source and cannot be changed: a target's answer, or the box's own. Nothing
// else holds the caller's writer, so that no answer carries anything of another.
package reply
