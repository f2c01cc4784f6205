// Package event decides which bytes of an answer are events of it that the caller lacks. Targets may
// repeat events, send bytes behind a whole answer and send bytes that form none; how reads split the
// bytes makes no difference.
package event
