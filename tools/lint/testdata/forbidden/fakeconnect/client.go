// Package fakeconnect stands for generated code.
package fakeconnect

// NewFakeClient stands for a generated constructor.
func NewFakeClient(...any) {}

// NewFakeHandler stands for a generated constructor.
func NewFakeHandler(...any) {}
