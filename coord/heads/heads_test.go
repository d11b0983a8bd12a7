package heads

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestHeadBounds checks the bounds byte by byte, however the head is cut.
func TestHeadBounds(t *testing.T) {
	const status = "HTTP/1.1 200 OK"
	first := status + strings.Repeat("a", 126-len(status)) + "\r\n"
	line := "a:" + strings.Repeat("a", 124) + "\r\n"
	fields := first + strings.Repeat(line, MaxBytes/len(line)-2)
	for _, c := range []struct {
		name, head string
		want       error
	}{
		{"as many bytes as allowed", fields + "a:" + strings.Repeat("a", 122) + "\r\n\r\n", nil},
		{"a byte more", fields + "a:" + strings.Repeat("a", 123) + "\r\n\r\n", ErrTooLarge},
		{"as many lines as allowed", status + "\n" + strings.Repeat("a:\n", MaxLines-2) + "\n", nil},
		{"a line more", status + "\n" + strings.Repeat("a:\n", MaxLines-1) + "\n", ErrTooLarge},
	} {
		for _, n := range []int{1, 7, 512, len(c.head)} {
			h := NewReader(strings.NewReader(c.head + strings.Repeat("\n", 2*MaxLines)))
			err := h.Begin(nil)
			b := make([]byte, n)
			for err == nil {
				_, err = h.Read(b)
			}
			if errors.Is(err, io.EOF) {
				err = nil
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%s, %d at a time: error %v, want %v", c.name, n, err, c.want)
			}
		}
	}
}

// TestErrorStays checks that a head which is none stays one, wherever the reads of it are cut. The parser of the standard library takes an error in
// the middle of a line for the end of the line, and reads on.
func TestErrorStays(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nab"
	for _, head := range []string{"HTTP/1.1 000 OK\r\nId: 1\r\n", "HTTP/1.1 101 OK\r\nId: 1\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nX Other: a\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nX\x00Other: a\r\n"} {
		text := head + rest
		for i := range len(text) {
			for j := i; j < len(text); j++ {
				h := NewReader(io.MultiReader(strings.NewReader(text[:i]), strings.NewReader(text[i:j]), strings.NewReader(text[j:])))
				if err := h.Begin(nil); err != nil {
					t.Fatal(err)
				}
				if r, err := http.ReadResponse(bufio.NewReader(h), nil); err == nil {
					_ = r.Body.Close()
					t.Fatalf("%q, cut at %d and %d, is an answer with status %d and %v", text, i, j, r.StatusCode, r.Header)
				}
			}
		}
	}
}
