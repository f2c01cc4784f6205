package relay

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/barleystep/barleystep/internal/mutex"
)

// frameHeaderBytes is the size of a frame's header, its length. What a target sends is framed on
// the way from the relay, and a frame of length zero is the end of it: a relay that is killed closes
// its connections in good order, so that an answer that ends with its connection would look complete.
const frameHeaderBytes = 2

// maxFrameBytes bounds a frame's payload.
const maxFrameBytes = 16 << 10

// tunnel is a connection to a target through another box.
type tunnel struct {
	*net.TCPConn
	relay string // relay is the address of the other box.
	// left is what is unread of the current frame.
	left  int
	ended bool
}

// Relay returns the address of the box that the connection goes through.
func (t *tunnel) Relay() string { return t.relay }

// Read reads what the target has sent. It returns io.EOF only if the target has closed the connection.
func (t *tunnel) Read(p []byte) (int, error) {
	if t.ended {
		return 0, io.EOF
	}
	if t.left == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(t.TCPConn, header[:]); err != nil {
			return 0, unexpectedEnd(err)
		}
		t.left = int(binary.BigEndian.Uint16(header[:]))
		if t.left == 0 {
			t.ended = true
			return 0, io.EOF
		}
	}
	n, err := t.TCPConn.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns err, or io.ErrUnexpectedEOF for io.EOF.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// sendFrames copies what a target sends to the other box in frames. It returns nil when the target
// has closed the connection. The end is sent unless sendFailed reports that sending to the target has
// failed: if the connection was reset, that may only show there.
func sendFrames(to io.Writer, from io.Reader, sendFailed func() bool) error {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := from.Read(buffer[frameHeaderBytes:])
		if err == io.EOF && n == 0 && sendFailed() {
			return nil
		}
		if n > 0 || err == io.EOF {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, failed := to.Write(buffer[:frameHeaderBytes+n]); failed != nil {
				return failed
			}
		}
		switch {
		case err == io.EOF && n == 0:
			return nil
		case err != nil && err != io.EOF:
			return err
		}
	}
}

// sender sends to a target.
type sender struct {
	target net.Conn

	mu  mutex.Mutex // mu is held while sending.
	err error
}

func (s *sender) send(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, s.err = s.target.Write(data)
	return s.err
}

// failed reports whether sending has failed. It ends what is being sent, since it is called when the
// target has closed the connection.
func (s *sender) failed() bool {
	_ = s.target.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}
