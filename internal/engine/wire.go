// Package engine is the thin adapter to model engines and plain services. All
// that is particular to their protocol stays here.
package engine

import "time"

// The header names of the engines' protocol.
const (
	// HeaderAttempt carries the attempt id; the target echoes it.
	HeaderAttempt = "Barleystep-Attempt"
	// HeaderFrom asks for the events from a number on; absent starts an attempt.
	HeaderResumeFrom = "Barleystep-From"
	// HeaderPriority orders work inside an engine, lower first.
	HeaderPriority = "Barleystep-Priority"
	// HeaderDeadline is the time by which the engine drops the attempt.
	HeaderDeadline = "Barleystep-Deadline"
	// HeaderGroup names the engines that serve one prompt together.
	HeaderGroup = "Barleystep-Group"
	// HeaderStarted is "false" on an answer that says nothing was started.
	HeaderStarted = "Barleystep-Started"
	// HeaderFence carries the fencing token of an order.
	HeaderFence = "Barleystep-Fence"
)

// The paths of the engines' control interface.
const (
	// PathAttempts lists attempts; with an id appended it is one attempt.
	PathAttempts = "/control/attempts"
	// PathLoad is the load report.
	PathLoad = "/control/load"
	// PathOrders takes orders to load weights or to change role.
	PathOrders = "/control/orders"
)

// Done is the data of the event that closes a streamed answer.
const DoneData = "[DONE]"

// DeadlineLayout is the format of HeaderDeadline.
const DeadlineLayout = time.RFC3339Nano
