package guard

// headScan finds the end of a head and counts its lines.
type headScan struct {
	// bytes is the size of the head so far, and lines the number of its lines and of those that the HTTP
	// server has read of further requests.
	bytes int
	lines int
	ended bool
	// tail is the number of lines in the last part behind the end of the head.
	tail int
	// line is the number of bytes of the current line, and cr is set if its only byte is a carriage return.
	line int
	cr   bool
}

// begin begins a further head, of which the HTTP server may have read a part already.
func (s *headScan) begin() {
	s.bytes, s.lines, s.ended = 0, s.tail, false
}

// add scans a further part and reports whether the head has ended.
func (s *headScan) add(p []byte) (ended bool) {
	s.tail = 0
	for _, b := range p {
		if !s.ended {
			s.bytes++
		}
		s.next(b)
	}
	return s.ended
}

// next scans a byte.
func (s *headScan) next(b byte) {
	if b != '\n' {
		s.line++
		s.cr = s.line == 1 && b == '\r'
		return
	}
	s.lines++
	if s.ended {
		s.tail++
	}
	s.ended = s.ended || s.line == 0 || s.cr
	s.line, s.cr = 0, false
}

// skip scans a part that comes behind the head. The HTTP server waits for the end of a connection with
// reads of one byte, which follow what it has read before.
func (s *headScan) skip(p []byte) {
	if len(p) > 1 {
		s.tail = 0
	}
	s.ended = true
	for _, b := range p {
		s.next(b)
	}
}
