package conn

import (
	"context"
	"net"
	"syscall"
	"time"
)

// TCP connects directly. It is safe for concurrent use.
type TCP struct {
	// Timeout bounds connecting.
	Timeout time.Duration
}

const (
	// unackedTimeout bounds how long sent bytes may stay unacknowledged, so that a target that lost
	// power is detected.
	unackedTimeout = 2 * time.Second
	// receiveBytes is the size of the kernel's buffer for what a target has sent, in bytes, which it
	// doubles. A caller that does not read its stream fills it.
	receiveBytes = 32 << 10
	// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// keepAliveConfig detects that an idle connection is lost.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection to the address.
func (d TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setOptions}
	return dialer.DialContext(ctx, "tcp4", addr)
}

// DetectLoss makes a connection that was accepted end when its peer is silent, as those that Dial
// opens do.
func DetectLoss(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(keepAliveConfig) // A connection without it ends later.
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUnackedTimeout("", "", raw)
	}
}

// Reset closes a connection so that its peer does not take the end for a regular one.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // The connection is dropped either way.
	}
	_ = c.Close()
}

// setOptions sets the options of a connection before it is opened.
func setOptions(network, address string, raw syscall.RawConn) error {
	err := raw.Control(func(fd uintptr) {
		// On an error the default of the system holds.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	if err != nil {
		return err
	}
	return setUnackedTimeout(network, address, raw)
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
