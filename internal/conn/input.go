package conn

import (
	"io"
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
	err    error
}

func (i *input) beginHead() { i.inHead, i.left = true, maxHeadBytes }

func (i *input) endHead() { i.inHead = false }

// Read reads from the connection.
func (i *input) Read(p []byte) (n int, err error) {
	defer func() { i.err = err }()
	if !i.inHead {
		return i.raw.Read(p)
	}
	if i.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err = i.raw.Read(p[:min(len(p), i.left)])
	i.left -= n
	return n, err
}

// errMalformed means that an answer is not one of HTTP.
var errMalformed = eris.New("conn: the answer is malformed")

// readError returns the error to report for one of net/http, which quotes malformed answers. They may be
// another caller's, and the texts of errors are sent to callers.
func (i *input) readError(err error) error {
	isEnd := err == nil || eris.Is(err, io.EOF) || eris.Is(err, io.ErrUnexpectedEOF)
	if isEnd || i.err != nil && eris.Is(err, i.err) {
		return err
	}
	return errMalformed
}
