package guard

import "syscall"

const (
	// fileDescriptors is how many descriptors are kept for files, and controlDescriptors how many for the
	// store, other boxes, probes and metrics.
	fileDescriptors    = 200
	controlDescriptors = 64
	// shares is the number of parts into which the other descriptors are divided.
	shares = 9
	// callerShares are the parts for callers. As many are left for the connections to targets that serve
	// them, two for other boxes and what is relayed for them, and one for connections that are closing.
	callerShares = 3
	// placeBytes is the memory of a process for each connection of a caller, in bytes. A client that neither
	// reads nor stops to send can fill the kernel's buffers of its connection and of one to a target, in
	// addition to what the budget counts.
	placeBytes = 320 << 10
	// minPlaces is the least number of connections that a listener accepts.
	minPlaces = 16
)

// CallerPlaces returns how many connections of callers a process with this number of descriptors, and this
// memory in bytes, accepts. Zero stands for the limit of the operating system, and for DefaultMemory.
func CallerPlaces(descriptors int, memory int64) int {
	if memory <= 0 {
		memory = DefaultMemory
	}
	return max(minPlaces, min(places(descriptors)*callerShares, int(memory/placeBytes)))
}

// PeerPlaces returns how many connections of other boxes it accepts.
func PeerPlaces(descriptors int) int { return places(descriptors) }

// ProbePlaces is how many connections of probes, and of those who read the metrics, a process accepts.
const ProbePlaces = 16

// places returns the number of descriptors in one share.
func places(descriptors int) int {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	return max(minPlaces, (descriptors-fileDescriptors-controlDescriptors)/shares)
}

// maxDescriptors bounds what is taken from the operating system's limit, which may be none.
const maxDescriptors = 1 << 16

// systemDescriptors returns the limit of the operating system.
func systemDescriptors() int {
	const fallback = 1024
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return fallback
	}
	return int(min(limit.Cur, maxDescriptors))
}
