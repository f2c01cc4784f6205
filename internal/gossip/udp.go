package gossip

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// UDP implements barleystep.Network with the operating system's UDP. Its zero value is ready to
// use.
type UDP struct{}

// Listen opens an IPv4 socket for UDP.
func (UDP) Listen(addr netip.AddrPort) (s barleystep.Socket, err error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrap(err, "gossip: listen")
	}
	return udpSocket{c}, nil
}

type udpSocket struct{ conn *net.UDPConn }

// ReadFrom reads the next datagram and returns its sender.
func (s udpSocket) ReadFrom(buffer []byte) (size int, from netip.AddrPort, err error) {
	size, from, err = s.conn.ReadFromUDPAddrPort(buffer)
	return size, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err
}

// WriteTo sends a datagram.
func (s udpSocket) WriteTo(data []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(data, to)
	return err
}

// Close closes the socket.
func (s udpSocket) Close() error { return s.conn.Close() }
