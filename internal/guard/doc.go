// Package guard bounds what the clients of a process's listeners make it hold. All connections draw on one
// budget of memory before they take any: for heads, bodies and answers. Once it is spent, those who hold
// most of what they have not finished to send lose their connections first, so that ordinary clients are
// served on. The package also bounds the connections of a listener and how long clients may stall.
package guard
