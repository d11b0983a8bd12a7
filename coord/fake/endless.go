package fake

import (
	"fmt"
	"net/http"
	"strings"
)

// endlessPart is what Endless writes again and again: white space, which JSON allows anywhere.
var endlessPart = strings.Repeat(" ", 32<<10)

// Endless answers with a body that begins as given and then goes on until the caller closes the
// connection. It returns how many bytes were written.
func Endless(w http.ResponseWriter, body string) (written int64) {
	n, err := fmt.Fprint(w, body)
	for written = int64(n); err == nil; written += int64(n) {
		n, err = fmt.Fprint(w, endlessPart)
	}
	return written
}
