package guard

import "syscall"

const (
	// fileDescriptors is how many descriptors are kept for files, and controlDescriptors how many for the
	// store, other boxes, probes and metrics.
	fileDescriptors    = 200
	controlDescriptors = 64
	// shares is the number of parts into which the other descriptors are divided.
	shares = 8
	// callerShares are the parts for callers. As many are left for the connections to targets that serve
	// them, and two for other boxes and what is relayed for them.
	callerShares = 3
	// minPlaces is the least number of connections that a listener accepts.
	minPlaces = 16
)

// CallerPlaces returns how many connections of callers a process with this number of descriptors accepts.
// Zero stands for the limit of the operating system.
func CallerPlaces(descriptors int) int { return places(descriptors) * callerShares }

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
