package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cranberrypoint.example/entry/oai"
	"cranberrypoint.example/local/stand"
)

// Result is what one request came to.
type Result struct {
	Workspace string
	Generated bool
	// At is the time of the arrival after the start of the run.
	At time.Duration
	// First is the time to the first token, and Gaps are those between tokens.
	First time.Duration
	Gaps  []time.Duration
	// Tokens is what the request could be charged at most.
	Tokens int64
	Status int
	Code   string
	Ran    string
	// Whole is true when the answer is complete and its content right.
	Whole bool
	// Wrong is true when the answer holds something that is not part of it.
	Wrong bool
}

// Good reports whether the answer is whole and within both targets.
func (r *Result) Good() bool {
	if !r.Whole || !r.Generated {
		return r.Whole
	}
	late := 0
	for _, g := range r.Gaps {
		if g > BetweenTokens {
			late++
		}
	}
	return r.First <= FirstToken && float64(late) <= (1-within)*float64(max(len(r.Gaps), 1))
}

// question is one request of the load.
type question struct {
	workspace string
	generated bool
	prompt    string
	tokens    int64
	serial    int
}

type caller struct {
	http *http.Client
	// entries are the addresses of the entries.
	entries []string
	start   time.Time
}

const callTimeout = 40 * time.Second

func (c *caller) ask(ctx context.Context, q question) (r Result) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r = Result{Workspace: q.workspace, Generated: q.generated, At: time.Since(c.start), Tokens: 1}
	path, body := fmt.Sprintf("/orders/%d", q.serial), "order"
	if q.generated {
		r.Tokens = int64(len(q.prompt)/4) + q.tokens
		path = "/v1/completions"
		b, _ := json.Marshal(map[string]any{"model": "chat", "prompt": q.prompt, "max_tokens": q.tokens, "stream": true})
		body = string(b)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[q.serial%len(c.entries)]+path, strings.NewReader(body))
	if err != nil {
		return r
	}
	h.Header.Set("Authorization", "Bearer "+key(q.workspace))
	begun := time.Now()
	a, err := c.http.Do(h)
	if err != nil {
		r.Code = "connection"
		return r
	}
	defer func() { _ = a.Body.Close() }()
	r.Status = a.StatusCode
	switch {
	case a.StatusCode != http.StatusOK:
		refused(&r, a.Body)
	case q.generated:
		stream(&r, a.Body, q, begun)
	default:
		b, err := io.ReadAll(a.Body)
		r.First = time.Since(begun)
		r.Whole = err == nil && string(b) == "POST "+path+"\norder"
	}
	return r
}

func refused(r *Result, body io.Reader) {
	var e oai.ErrorBody
	if json.NewDecoder(body).Decode(&e) == nil {
		r.Code, r.Ran = e.Error.Code, e.Error.Ran
	}
}

// stream reads a streamed answer and checks it against the engine's.
func stream(r *Result, body io.Reader, q question, begun time.Time) {
	var text strings.Builder
	last := begun
	s := bufio.NewScanner(body)
	for s.Scan() {
		d, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			r.Whole = text.String() == stand.Answer(q.prompt, q.tokens)
			r.Wrong = !r.Whole
			return
		}
		var m oai.Response
		if json.Unmarshal([]byte(d), &m) != nil || len(m.Choices) == 0 {
			r.Code = "broken"
			continue
		}
		if t := m.Choices[0].Text; t != nil && *t != "" {
			now := time.Now()
			if text.Len() == 0 {
				r.First = now.Sub(begun)
			} else {
				r.Gaps = append(r.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(*t)
		}
	}
	r.Wrong = !strings.HasPrefix(stand.Answer(q.prompt, q.tokens), text.String())
}
