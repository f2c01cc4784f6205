package barleystep

import "net/netip"

// Network carries datagrams between boxes. Datagrams may be lost, delayed or duplicated.
// Implementations are safe for concurrent use.
type Network interface {
	// Listen opens a socket at the given IP and port.
	Listen(addr netip.AddrPort) (Socket, error)
}

// Socket sends and receives datagrams at one address. Only one goroutine may call ReadFrom; the
// other methods are safe for concurrent use.
type Socket interface {
	// ReadFrom waits for a datagram and returns its size in bytes and its sender. It truncates
	// a datagram that exceeds the buffer, and fails once the socket is closed.
	ReadFrom(buffer []byte) (size int, from netip.AddrPort, err error)
	// WriteTo sends a datagram. A nil error does not mean that the datagram arrives.
	WriteTo(data []byte, to netip.AddrPort) error
	// Close closes the socket and unblocks ReadFrom.
	Close() error
}
