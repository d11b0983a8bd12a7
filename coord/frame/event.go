package frame

// eventScanner finds the ends of server-sent events in a stream. An event is a block of lines
// that ends with an empty line; a line that begins with a colon is a comment and belongs to none.
type eventScanner struct {
	// count is the number of events that have ended.
	count int
	// inLine is true if the current line has bytes, and comment if the first of them is a colon.
	inLine  bool
	comment bool
	// inEvent is true if a line of an event has ended and the event hasn't.
	inEvent bool
	// afterCR is true if the last byte was a carriage return. A line feed that follows it
	// belongs to the same line end.
	afterCR bool
}

func newEventScanner() *eventScanner { return &eventScanner{} }

// scan reads the next bytes of the stream.
func (s *eventScanner) scan(b []byte) {
	for _, c := range b {
		afterCR := s.afterCR
		s.afterCR = c == '\r'
		switch {
		case c == '\n' && afterCR:
		case c == '\n' || c == '\r':
			s.endLine()
		case !s.inLine:
			s.inLine, s.comment = true, c == ':'
		}
	}
}

// endLine handles the end of a line.
func (s *eventScanner) endLine() {
	switch {
	case !s.inLine && s.inEvent:
		s.count++
		s.inEvent = false
	case s.inLine && !s.comment:
		s.inEvent = true
	}
	s.inLine = false
}

// insideEvent reports whether the stream can't end here: a line or an event is unfinished.
func (s *eventScanner) insideEvent() bool { return s.inLine || s.inEvent }
