package barleystep

import "net/netip"

// Network carries datagrams between boxes. Datagrams may be lost, late or
// doubled. Implementations are safe for concurrent use.
type Network interface {
	// Listen opens the socket with the given address, an IP and a port.
	Listen(addr netip.AddrPort) (Socket, error)
}

// Socket sends and receives datagrams at one address. ReadFrom is called by one
// goroutine; the other methods are safe for concurrent use.
type Socket interface {
	// ReadFrom waits for a datagram and returns its size in bytes and its sender. What
	// does not fit into the buffer is cut off. It fails once the socket is closed.
	ReadFrom(buffer []byte) (size int, from netip.AddrPort, err error)
	// WriteTo sends a datagram. That it returns no error does not mean that the
	// datagram arrives.
	WriteTo(data []byte, to netip.AddrPort) error
	// Close closes the socket and ends ReadFrom.
	Close() error
}
