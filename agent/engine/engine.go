// Package engine speaks to a model engine over its HTTP interface.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"cranberrypoint.example/coord/fault"
	"github.com/rotisserie/eris"
)

// Prefill is a request to compute the KV cache of a prompt.
type Prefill struct {
	Request  string `json:"request"`
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	SkipTokens     int64  `json:"skip,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// PrefillResult is the answer to Prefill.
type PrefillResult struct {
	Handle string `json:"handle"`
	PromptTokens int64  `json:"tokens"`
	CachedTokens int64  `json:"cached"`
}

// Import is a request to fetch a KV cache from another engine.
type Import struct {
	Request string `json:"request"`
	Source  string `json:"source"`
	Handle  string `json:"handle"`
}

// Decode is a request to generate an answer from an imported KV cache.
type Decode struct {
	Request   string `json:"request"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max-tokens"`
	SkipTokens      int64  `json:"skip,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// Token is one line of a decoded answer. The last line has End set.
type Token struct {
	Text string `json:"text,omitempty"`
	End  bool   `json:"end,omitempty"`
}

// Order tells an engine to load or unload a model.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Model string `json:"model"`
	Load  bool   `json:"load"`
}

// StaleOrder is the answer to an order that an engine refuses as old.
type StaleOrder struct {
	NewestFencingToken uint64 `json:"newest"`
}

// Allocations lists what an engine holds.
type Allocations struct {
	Requests []string `json:"requests"`
	Tokens   int64    `json:"tokens"`
}

// Cancel is a request that names another one.
type Cancel struct {
	Request string `json:"request"`
}

// StatusError is an answer of an engine that isn't a success.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the engine's text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Text)
}

// maxText bounds the text of an error, in bytes.
const maxText = 512

// Client speaks to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at a base URL.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Base returns the base URL of the engine.
func (c *Client) Base() string { return c.base }

// Prefill computes a prompt's KV cache and leaves it ready for export.
func (c *Client) Prefill(ctx context.Context, p Prefill) (r PrefillResult, err error) {
	defer fault.Annotate(&err, "prefill")
	return post[PrefillResult](ctx, c, "/v1/prefill", p)
}

// Import fetches a KV cache.
func (c *Client) Import(ctx context.Context, i Import) (err error) {
	defer fault.Annotate(&err, "import")
	_, err = post[struct{}](ctx, c, "/v1/kv/import", i)
	return err
}

// Cancel stops a request and frees what the engine holds for it.
func (c *Client) Cancel(ctx context.Context, request string) (err error) {
	defer fault.Annotate(&err, "cancel")
	_, err = post[struct{}](ctx, c, "/v1/cancel", Cancel{request})
	return err
}

// Order gives an order. Newest is the engine's fencing number where it refused.
func (c *Client) Order(ctx context.Context, o Order) (newest uint64, err error) {
	defer fault.Annotate(&err, "order")
	_, err = post[struct{}](ctx, c, "/v1/orders", o)
	var s *StatusError
	if errors.As(err, &s) && s.Status == http.StatusPreconditionFailed {
		var f StaleOrder
		_ = json.Unmarshal([]byte(s.Text), &f)
		return f.NewestFencingToken, err
	}
	return 0, err
}

// ListAllocations lists the requests that the engine holds memory for.
func (c *Client) ListAllocations(ctx context.Context) (h Allocations, err error) {
	defer fault.Annotate(&err, "list held requests")
	a, err := c.do(ctx, http.MethodGet, "/v1/held", nil)
	if err != nil {
		return Allocations{}, err
	}
	defer func() { _ = a.Body.Close() }()
	return h, json.NewDecoder(a.Body).Decode(&h)
}

// Decode generates an answer and calls f for each token. It returns an error unless
// the engine marked the answer's end.
func (c *Client) Decode(ctx context.Context, d Decode, f func(text string) error) (err error) {
	defer fault.Annotate(&err, "decode")
	a, err := c.do(ctx, http.MethodPost, "/v1/decode", d)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	s := bufio.NewScanner(a.Body)
	for s.Scan() {
		var t Token
		if err := json.Unmarshal(s.Bytes(), &t); err != nil {
			return err
		}
		if t.End {
			return nil
		}
		if err := f(t.Text); err != nil {
			return err
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	return eris.Wrap(io.ErrUnexpectedEOF, "the answer has no end")
}

func post[T any](ctx context.Context, c *Client, path string, in any) (out T, err error) {
	a, err := c.do(ctx, http.MethodPost, path, in)
	if err != nil {
		return out, err
	}
	defer func() { _ = a.Body.Close() }()
	err = json.NewDecoder(a.Body).Decode(&out)
	if err == io.EOF {
		err = nil
	}
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	u, err := url.JoinPath(c.base, path)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return nil, err
	}
	a, err := c.http.Do(q)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		defer func() { _ = a.Body.Close() }()
		t, _ := io.ReadAll(io.LimitReader(a.Body, maxText))
		return nil, &StatusError{a.StatusCode, string(bytes.TrimSpace(t))}
	}
	return a, nil
}
