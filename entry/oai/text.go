package oai

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	// partIDBytes is the length of the id of a part, enough to tell all parts apart.
	partIDBytes = 8
	// maxParts bounds the messages that get an id.
	maxParts = 64
)

// Message is one message of a chat in an answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// message is one message of a chat in a request.
type message struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

// messages are the messages of a chat. Only their text is kept: a list of many short messages would take many times its
// size in memory.
type messages struct {
	// lines are the messages as "role: content" lines.
	lines []byte
	// ids are those of the first maxParts messages.
	ids   []string
	count int
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *messages) UnmarshalJSON(b []byte) error {
	*m = messages{}
	return eachElement(b, func(d *json.Decoder) error {
		var x message
		if err := d.Decode(&x); err != nil {
			return err
		}
		m.add(x)
		return nil
	})
}

// add appends a message.
func (m *messages) add(x message) {
	begin := len(m.lines)
	m.lines = append(m.lines, x.Role...)
	m.lines = append(m.lines, ": "...)
	m.lines = append(m.lines, x.Content.bytes...)
	if m.count++; m.count <= maxParts {
		m.ids = append(m.ids, partID(m.lines[begin:]))
	}
	m.lines = append(m.lines, '\n')
}

// text is a text in a request. In JSON it is a string, or a list of parts whose texts are joined. The type of a part is not
// checked.
type text struct{ bytes []byte }

// part is one element of a text that is a list.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler. It accepts both forms of a text.
func (t *text) UnmarshalJSON(b []byte) error {
	t.bytes = nil
	if len(b) > 0 && b[0] != '[' {
		var s string
		err := json.Unmarshal(b, &s)
		t.bytes = []byte(s)
		return err
	}
	return eachElement(b, func(d *json.Decoder) error {
		var p part
		err := d.Decode(&p)
		t.bytes = append(t.bytes, p.Text...)
		return err
	})
}

// errNoList means that a value isn't a list.
var errNoList = eris.New("the value is not a list")

// eachElement calls f for each element of a list, which f decodes; null is an empty list. The list as a whole is never in
// memory.
func eachElement(b []byte, f func(*json.Decoder) error) error {
	d := json.NewDecoder(bytes.NewReader(b))
	t, err := d.Token()
	switch {
	case err != nil:
		return err
	case t == nil:
		return nil
	case t != json.Delim('['):
		return errNoList
	}
	for d.More() {
		if err := f(d); err != nil {
			return err
		}
	}
	return nil
}

func partID(text []byte) string {
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:partIDBytes])
}
