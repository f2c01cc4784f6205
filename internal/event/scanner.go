package event

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of Scan, after which the answer has no further events.
var (
	// ErrSurplus means that bytes follow that are no event of the answer.
	ErrSurplus = eris.New("event: bytes that are no event of the answer")
	// ErrNextAnswer is an ErrSurplus where the bytes begin another answer, so that this one has ended.
	ErrNextAnswer = eris.Wrap(ErrSurplus, "event: another answer begins")
	// ErrGap means that an answer that continues a stream begins beyond the next event.
	ErrGap = eris.New("event: the answer does not continue the stream")
	// ErrTooLong means that an event, or what lies between two of them, is too long.
	ErrTooLong = eris.New("event: too many bytes without an event")
)

const (
	// MaxBytes bounds an event in bytes.
	MaxBytes = 64 << 10
	// maxSkipped bounds the bytes between two events that the caller lacks: comments, blank lines and
	// events that it has. An answer may repeat a stream from its start.
	maxSkipped = 1 << 20
)

var (
	idField    = []byte("id")
	statusLine = []byte("HTTP/")
)

// Scanner finds the events in the body of one answer. An event is a block of lines that ends with a
// blank line and has a numeric id. The ids of an answer rise. Its exported fields must be set before
// use.
type Scanner struct {
	// Cursor is the position of the caller.
	Cursor *Cursor
	// Framed is set if the body has a length or chunks, so that nothing in it belongs to another answer.
	Framed bool

	// block is the current block as far as it was read; line is the offset of its current line.
	block []byte
	line  int
	// fresh are the events of the current call that the caller lacks.
	fresh []byte
	count int
	// id is that of the current block; isEvent is set if the block has an id, hasFields if it has
	// lines other than comments.
	id                 uint64
	isEvent, hasFields bool

	last      uint64 // last is the highest id of the answer.
	hasEvents bool
	// continues is set if the answer is known to continue where the caller is.
	continues bool
	skipped   int
	dropped   int
	err       error
}

// Scan takes in what was read. It returns the events that the caller lacks, which are valid until the
// next call, and their number. After an error, all further calls return the same.
func (s *Scanner) Scan(data []byte) (fresh []byte, count int, err error) {
	s.fresh, s.count = s.fresh[:0], 0
	for len(data) > 0 && s.err == nil {
		end := bytes.IndexByte(data, '\n') + 1
		if end == 0 {
			end = len(data)
		}
		s.block = append(s.block, data[:end]...)
		data = data[end:]
		s.err = s.scanLine()
	}
	return s.fresh, s.count, s.err
}

// HasEvents reports whether the answer has had an event.
func (s *Scanner) HasEvents() bool { return s.hasEvents }

// IsBehind reports whether the answer has events, but none up to the caller's last one.
func (s *Scanner) IsBehind() bool { return s.hasEvents && !s.continues && s.Cursor.has(s.last) }

// Dropped returns the number of events that the caller had.
func (s *Scanner) Dropped() int { return s.dropped }

// IsInside reports whether an event has begun that has not ended.
func (s *Scanner) IsInside() bool { return len(s.block) > 0 }

// scanLine takes in the current line, if it is complete.
func (s *Scanner) scanLine() error {
	line := s.block[s.line:]
	if line[len(line)-1] != '\n' {
		if len(s.block) > MaxBytes {
			return ErrTooLong
		}
		return nil
	}
	if len(line) == 1 {
		defer s.startBlock()
		return s.endBlock()
	}
	if len(s.block) > MaxBytes {
		return ErrTooLong
	}
	isFirst := s.line == 0
	s.line = len(s.block)
	return s.scanField(line[:len(line)-1], isFirst)
}

func (s *Scanner) startBlock() {
	s.block, s.line = s.block[:0], 0
	s.id, s.isEvent, s.hasFields = 0, false, false
}

// scanField takes in a line that is not blank.
func (s *Scanner) scanField(line []byte, isFirst bool) (err error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0: // A comment.
		return nil
	case isFirst && bytes.HasPrefix(line, statusLine):
		return ErrNextAnswer
	case !isFieldName(name):
		return ErrSurplus
	}
	s.hasFields = true
	if !bytes.Equal(name, idField) {
		return nil
	}
	s.isEvent = true
	if s.id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
		return ErrSurplus
	}
	return nil
}

// isFieldName reports whether a name may be that of a field of an event.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

// endBlock takes in the current block, which is complete.
func (s *Scanner) endBlock() error {
	switch {
	case s.isEvent:
		return s.endEvent()
	case s.hasFields && !s.Framed:
		return ErrSurplus
	default:
		return s.skip()
	}
}

// endEvent takes in the current block, which has an id.
func (s *Scanner) endEvent() error {
	if s.hasEvents && s.id <= s.last && !s.Framed {
		return ErrSurplus
	}
	s.hasEvents, s.last = true, max(s.id, s.last)
	if s.Cursor.has(s.id) {
		s.continues = s.continues || s.Cursor.isAt(s.id)
		return s.drop()
	}
	if !s.continues && s.Cursor.missesBefore(s.id) {
		return ErrGap
	}
	s.continues, s.skipped = true, 0
	s.Cursor.advance(s.id)
	s.fresh = append(s.fresh, s.block...)
	s.count++
	return nil
}

// drop leaves out an event that the caller has.
func (s *Scanner) drop() error {
	s.dropped++
	return s.skip()
}

// skip leaves out the current block.
func (s *Scanner) skip() error {
	s.skipped += len(s.block)
	if s.skipped > maxSkipped {
		return ErrTooLong
	}
	return nil
}
