package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// emptyPrompt is the field of the prompt in the JSON of Prefill and Decode without one.
const emptyPrompt = `"prompt":""`

// requestBody returns in as JSON with a prompt, and the size of that. The prompt is encoded while it is read: JSON may take six
// times its size.
func requestBody(in any, prompt []byte) (body io.Reader, size int64, err error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, 0, err
	}
	if len(prompt) == 0 {
		return bytes.NewReader(b), int64(len(b)), nil
	}
	before, after, _ := bytes.Cut(b, []byte(emptyPrompt))
	begin := len(emptyPrompt) - 1
	head := append(bytes.Clone(before), emptyPrompt[:begin]...)
	tail := append([]byte(emptyPrompt[begin:]), after...)
	size = int64(len(head)) + escapedSize(prompt) + int64(len(tail))
	return io.MultiReader(bytes.NewReader(head), &escaper{text: prompt}, bytes.NewReader(tail)), size, nil
}

// maxEscapedBytes is the size of the longest escape sequence.
const maxEscapedBytes = len(`\u0000`)

// escapedSize returns the size of a text in a JSON string.
func escapedSize(text []byte) (n int64) {
	var b [maxEscapedBytes]byte
	for _, c := range text {
		n += int64(len(appendEscaped(b[:0], c)))
	}
	return n
}

// appendEscaped appends a byte of UTF-8 text as it stands in a JSON string.
func appendEscaped(b []byte, c byte) []byte {
	switch {
	case c == '"' || c == '\\':
		return append(b, '\\', c)
	case c < ' ':
		return fmt.Appendf(b, `\u%04x`, c)
	}
	return append(b, c)
}

// escaper reads a text as it stands in a JSON string.
type escaper struct {
	text []byte
	// rest is what is left of an escape sequence of which a part was read.
	rest []byte
}

// Read reads the next part.
func (e *escaper) Read(p []byte) (n int, err error) {
	var b [maxEscapedBytes]byte
	for n < len(p) {
		if len(e.rest) == 0 {
			if len(e.text) == 0 {
				break
			}
			e.rest = appendEscaped(b[:0], e.text[0])
			e.text = e.text[1:]
		}
		k := copy(p[n:], e.rest)
		n, e.rest = n+k, e.rest[k:]
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	e.rest = bytes.Clone(e.rest)
	return n, nil
}
