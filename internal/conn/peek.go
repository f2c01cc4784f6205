package conn

import (
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// errNoSocket means that a connection is not one of the operating system.
var errNoSocket = eris.New("conn: the connection has no socket")

// Peek returns how many bytes have arrived at a connection that nobody has read, 0 or 1. It does not
// wait: the error is syscall.EAGAIN if nothing has arrived, and nil with no byte if the peer has closed
// the connection in good order.
func Peek(c net.Conn) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peeked
}
