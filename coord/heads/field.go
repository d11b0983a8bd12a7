package heads

import (
	"bytes"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors of field lines, and of the fields of a head together.
var (
	errField = eris.New("the head of the answer has a line that is no field")
	errValue = eris.New("a field of the answer has a control byte")
	// errFraming means that a body ends in one place by its length or its connection, and in another by its chunks.
	errFraming = eris.New("the head of the answer leaves open where its body ends")
)

// checkField checks a line of a head after the first, without its end, and returns the name of its field. A line that begins with a
// blank is none: as the continuation of the line before, which nobody may send any more, it could hide a field.
func checkField(l []byte) (name []byte, err error) {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok || !isName(name) {
		return nil, errField
	}
	if !isText(value) {
		return nil, errValue
	}
	return name, nil
}

// nameSigns are the bytes of names besides letters and digits.
const nameSigns = "!#$%&'*+-.^_`|~"

// isName reports whether bytes can be the name of a field.
func isName(b []byte) bool {
	for _, c := range b {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isLetter && !isDigit(c) && strings.IndexByte(nameSigns, c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// framing is what a head says of the end of the body.
type framing struct {
	// hasLength and hasCoding are true if the head states a length or a transfer coding.
	hasLength, hasCoding bool
}

// Names of fields that frame a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// WithField returns the framing with what a field of a name says of it.
func (f framing) WithField(name []byte) framing {
	f.hasLength = f.hasLength || bytes.EqualFold(name, contentLength)
	f.hasCoding = f.hasCoding || bytes.EqualFold(name, transferEncoding)
	return f
}

// check returns an error if the head leaves open where the body ends. minor is the minor version of HTTP/1, which knows transfer codings
// from 1 on.
func (f framing) check(minor int) error {
	if f.hasCoding && (f.hasLength || minor == 0) {
		return errFraming
	}
	return nil
}
