package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Body is the body of a request, with its framing.
type Body struct {
	// Fields are the header fields of the framing, each with its line end.
	Fields string
	// Write writes the body.
	Write func(w io.Writer) error
}

// filler is what bodies consist of.
var filler = bytes.Repeat([]byte("x"), 64<<10)

// fill writes size bytes in pieces, which are no larger than filler.
func fill(w io.Writer, size, piece int) error {
	piece = min(piece, len(filler))
	for at := 0; at < size; at += piece {
		if _, err := w.Write(filler[:min(piece, size-at)]); err != nil {
			return err
		}
	}
	return nil
}

// Sized is a body with a length, of which some bytes at the end are not sent, in pieces.
func Sized(length, missing, piece int) Body {
	return Body{
		Fields: fmt.Sprintf("Content-Length: %d\r\n", length),
		Write:  func(w io.Writer) error { return fill(w, length-missing, piece) },
	}
}

// Chunked is a body in chunks, followed by end, which is empty for a body that stops before its last chunk.
func Chunked(size, chunk int, end string) Body {
	return Body{
		Fields: "Transfer-Encoding: chunked\r\n",
		Write: func(w io.Writer) error {
			b := bufio.NewWriterSize(w, len(filler))
			for at := 0; at < size; at += chunk {
				n := min(chunk, size-at)
				if _, err := fmt.Fprintf(b, "%x\r\n", n); err != nil {
					return err
				}
				if err := fill(b, n, n); err != nil {
					return err
				}
				if _, err := b.WriteString("\r\n"); err != nil {
					return err
				}
			}
			if _, err := b.WriteString(end); err != nil {
				return err
			}
			return b.Flush()
		},
	}
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"

// Text is a body with a length and a content.
func Text(s string) Body {
	return Body{
		Fields: fmt.Sprintf("Content-Length: %d\r\n", len(s)),
		Write: func(w io.Writer) error {
			_, err := io.WriteString(w, s)
			return err
		},
	}
}

// Then is a body after which the client goes on to send bytes that belong to no whole request.
func (b Body) Then(size int) Body {
	return Body{Fields: b.Fields, Write: func(w io.Writer) error {
		if err := b.Write(w); err != nil {
			return err
		}
		return fill(w, size, len(filler))
	}}
}

// SendRequest returns what a client sends for a request with a body: a head with some fields, each with its line end, whose
// values may have the number of the connection in place of %d.
func SendRequest(line, fields string, b Body) func(w io.Writer, number int64) error {
	return func(w io.Writer, number int64) error {
		return writeRequest(w, line, strings.ReplaceAll(fields, "%d", fmt.Sprint(number)), b)
	}
}

// Repeat returns what a client sends that sends the same some times over on a connection.
func Repeat(times int, send func(w io.Writer, number int64) error) func(w io.Writer, number int64) error {
	return func(w io.Writer, number int64) error {
		for range times {
			if err := send(w, number); err != nil {
				return err
			}
		}
		return nil
	}
}

func writeRequest(w io.Writer, line, fields string, b Body) error {
	if _, err := io.WriteString(w, line+" HTTP/1.1\r\n"+fields+b.Fields+"\r\n"); err != nil {
		return err
	}
	return b.Write(w)
}

// EndlessTrailer is a chunked body whose trailer has no end.
func EndlessTrailer(size, trailer int) Body {
	return Chunked(size, size, "0\r\n"+strings.Repeat("X-Trailer: x\r\n", trailer/len("X-Trailer: x\r\n")))
}

// SendHead returns what a client sends that never ends the head of its request: size bytes of equal fields.
func SendHead(line, fields, field string, size int) func(w io.Writer, number int64) error {
	return func(w io.Writer, number int64) error {
		head := line + " HTTP/1.1\r\n" + fields + strings.Repeat(field, size/len(field))
		_, err := io.WriteString(w, head)
		return err
	}
}

// SendNothing sends nothing.
func SendNothing(io.Writer, int64) error { return nil }
