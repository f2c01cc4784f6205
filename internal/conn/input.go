package conn

import (
	"net"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the head of an answer in bytes. Sound ones have a few hundred.
const maxHeadBytes = 16 << 10

// errHeadTooLong means that the head of an answer doesn't end.
var errHeadTooLong = eris.New("conn: the head of an answer is too long")

// input reads from a connection. It bounds the heads of answers, which net/http reads as a whole.
type input struct {
	raw    net.Conn
	inHead bool
	left   int // left is how much of a head may still be read.
}

func (i *input) beginHead() { i.inHead, i.left = true, maxHeadBytes }

func (i *input) endHead() { i.inHead = false }

// Read reads from the connection.
func (i *input) Read(p []byte) (int, error) {
	if !i.inHead {
		return i.raw.Read(p)
	}
	if i.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := i.raw.Read(p[:min(len(p), i.left)])
	i.left -= n
	return n, err
}
