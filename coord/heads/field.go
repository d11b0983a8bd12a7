package heads

import (
	"bytes"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors of field lines.
var (
	errField = eris.New("the head of the answer has a line that is no field")
	errValue = eris.New("a field of the answer has a control byte")
)

// checkField checks a line of a head after the first, without its end. A line that begins with a blank is none: as the continuation of
// the line before, which nobody may send any more, it could hide a field.
func checkField(l []byte) error {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok || !isName(string(name)) {
		return errField
	}
	if !isText(value) {
		return errValue
	}
	return nil
}

// nameSigns are the bytes of names besides letters and digits.
const nameSigns = "!#$%&'*+-.^_`|~"

// isName reports whether a text can be the name of a field.
func isName(s string) bool {
	for _, c := range []byte(s) {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isLetter && !isDigit(c) && strings.IndexByte(nameSigns, c) < 0 {
			return false
		}
	}
	return s != ""
}
