package script

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"cranberrypoint.example/entry/oai"
)

const exampleKey = "cp-example-key"

// question is one caller's request.
type question struct {
	entry, key, idempotency, method, path, body string
}

// reply is what the caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	done   chan struct{}
}

func (f *procs) request(q question) (r reply) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, q.method, "http://"+f.callers[q.entry]+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	if q.key != "" {
		h.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.idempotency != "" {
		h.Header.Set("Idempotency-Key", q.idempotency)
	}
	a, err := http.DefaultClient.Do(h)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(b), err: err}
}

// text returns the text of a streamed answer and whether it is marked as whole.
func (r reply) text() (text string, whole bool) {
	for _, l := range strings.Split(r.body, "\n") {
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			return text, true
		}
		var m oai.Response
		if json.Unmarshal([]byte(d), &m) != nil {
			return text, false
		}
		for _, c := range m.Choices {
			if c.Text != nil {
				text += *c.Text
			}
		}
	}
	return text, false
}
