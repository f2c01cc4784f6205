// Package engine is the HTTP client for model engines and plain services. Only this package depends
// on their protocol.
package engine

import "time"

// Headers of the engine protocol.
const (
	// HeaderAttempt is the attempt id; the target echoes it.
	HeaderAttempt = "Barleystep-Attempt"
	// HeaderResumeFrom is the event number to resume from; if absent, a new attempt is started.
	HeaderResumeFrom = "Barleystep-From"
	// HeaderPriority orders work inside an engine, lower first.
	HeaderPriority = "Barleystep-Priority"
	// HeaderDeadline is the time at which the engine cancels the attempt.
	HeaderDeadline = "Barleystep-Deadline"
	// HeaderGroup lists the engines that serve one prompt together, separated by commas.
	HeaderGroup = "Barleystep-Group"
	// HeaderStarted is "false" in the response if the attempt was not started.
	HeaderStarted = "Barleystep-Started"
	// HeaderFence is the fencing token of an order.
	HeaderFence = "Barleystep-Fence"
)

// Paths of the engine control API.
const (
	// PathAttempts is the list of attempts; with a slash and an id appended, a single attempt.
	PathAttempts = "/control/attempts"
	// PathLoad is the load report.
	PathLoad = "/control/load"
	// PathOrders accepts orders to load weights or to change role.
	PathOrders = "/control/orders"
)

// DoneData is the data of the last event of a streamed answer.
const DoneData = "[DONE]"

// DeadlineLayout is the format of HeaderDeadline.
const DeadlineLayout = time.RFC3339Nano
