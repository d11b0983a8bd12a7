package heads

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

// The statuses that HTTP defines have three digits and lie between two bounds.
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// Errors of first lines of heads.
var (
	errNoHTTP   = eris.New("the answer doesn't begin with a status line of HTTP/1")
	errStatus   = eris.New("the answer has a status that doesn't exist")
	errSwitched = eris.New("the answer switches to a protocol that wasn't asked for")
	errReason   = eris.New("the status line of the answer has a control byte")
)

// statusLine is the first line of a head.
type statusLine struct {
	// minor is the minor version of HTTP/1.
	minor  int
	status int
}

// isInterim reports whether the head of another response follows.
func (s statusLine) isInterim() bool { return s.status < http.StatusOK }

// parseStatusLine parses the first line of a head, as "HTTP/1.1 200 OK", without its end.
func parseStatusLine(l []byte) (s statusLine, err error) {
	version, rest, ok := bytes.Cut(l, []byte(" "))
	minor, isHTTP := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || !isHTTP || len(minor) != 1 || !isDigit(minor[0]) {
		return s, errNoHTTP
	}
	s.minor = int(minor[0] - '0')
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != statusDigits {
		return s, errStatus
	}
	for _, c := range code {
		if !isDigit(c) {
			return s, errStatus
		}
		s.status = 10*s.status + int(c-'0')
	}
	switch {
	case s.status < minStatus, s.status > maxStatus:
		return s, errStatus
	case s.status == http.StatusSwitchingProtocols:
		return s, errSwitched
	case !isText(reason):
		return s, errReason
	}
	return s, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether all bytes may stand in a reason or in the value of a field: no control bytes but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == '\x7f' {
			return false
		}
	}
	return true
}
