// Package engine is a client for the HTTP API of a model engine, the server that runs
// language models.
//
// A generation request runs in two stages, prefill and decode, on the same engine or on two.
// Prefill computes the KV cache of the prompt. Import copies the KV cache to the engine that
// decodes; agents call it also if that is the engine that ran prefill. Decode generates the
// response from the imported KV cache. An engine keeps memory allocated under the name of a
// request until the request ends or is cancelled.
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
	"cranberrypoint.example/coord/upconn"
	"github.com/rotisserie/eris"
)

// Prefill is the body of the HTTP request to compute the KV cache of a prompt.
type Prefill struct {
	// Request is the name of the generation request, under which the engine allocates memory
	// and by which Cancel refers to it.
	Request string `json:"request"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	// SkipTokens is the number of response tokens that earlier attempts have generated, so
	// that decode skips them. The KV cache covers them in addition to the prompt.
	SkipTokens int64 `json:"skip,omitempty"`
	// Priority decides which of the waiting requests is served next; larger ones come first.
	Priority int `json:"priority,omitempty"`
}

// PrefillResult is the response to Prefill.
type PrefillResult struct {
	// Handle names the KV cache in a later Import.
	Handle string `json:"handle"`
	// PromptTokens is the number of tokens of the prompt, CachedTokens included and
	// Prefill.SkipTokens not.
	PromptTokens int64 `json:"tokens"`
	// CachedTokens is the number of prompt tokens that were already in the engine's prefix cache.
	CachedTokens int64 `json:"cached"`
}

// Import is the body of the HTTP request to copy a KV cache from the engine that computed it.
type Import struct {
	Request string `json:"request"`
	// Source is the base URL of that engine.
	Source string `json:"source"`
	// Handle is the PrefillResult.Handle that it returned.
	Handle string `json:"handle"`
}

// Decode is the body of the HTTP request to generate a response from an imported KV cache.
type Decode struct {
	// Request is the name of the generation request, under which the KV cache was imported.
	Request string `json:"request"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	// MaxTokens limits the length of the whole response, including SkipTokens.
	MaxTokens int64 `json:"max-tokens"`
	// SkipTokens is the number of response tokens that earlier attempts have generated. The
	// engine sends only the tokens after them.
	SkipTokens int64 `json:"skip,omitempty"`
	// Priority decides which of the waiting requests is served next; larger ones come first.
	Priority int `json:"priority,omitempty"`
}

// Token is one line of the response to Decode: the text of a token or, in the last line, the
// end marker, which has End set and no text.
type Token struct {
	Text string `json:"text,omitempty"`
	End  bool   `json:"end,omitempty"`
}

// Order is the body of the HTTP request to load or unload a model.
type Order struct {
	// FencingToken is a number that grows with each order, so that outdated orders are
	// recognised: the engine refuses an order whose number is smaller than the largest one
	// that it has seen.
	FencingToken uint64 `json:"fence"`
	Model        string `json:"model"`
	// Load is false to unload the model.
	Load bool `json:"load"`
}

// StaleOrder is the response to an order that is refused because the engine has already seen
// a larger fencing token. Its status is 412 Precondition Failed.
type StaleOrder struct {
	NewestFencingToken uint64 `json:"newest"`
}

// Allocations is the memory that an engine has allocated.
type Allocations struct {
	// Requests are the names of the requests that memory is allocated for.
	Requests []string `json:"requests"`
	// Tokens is the size of all allocations, in tokens of KV cache.
	Tokens int64 `json:"tokens"`
}

// Cancel is the body of the HTTP request to cancel a generation request.
type Cancel struct {
	// Request is the name of the generation request, as in Prefill or Import.
	Request string `json:"request"`
}

// StatusError is returned for a response whose status is not 200 OK.
type StatusError struct {
	Status int
	// Text is the start of the response body.
	Text string
}

// Error returns the status and the start of the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Text)
}

// maxAnswerBytes limits how much of the body of an answer is read, other than that of Decode, which
// is read line by line.
const maxAnswerBytes = 1 << 20

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 32 << 10

// maxErrorTextBytes limits how much of the body of an error response is read.
const maxErrorTextBytes = 512

// Client calls one engine. It is safe for concurrent use. It sets no timeouts; the context
// of each call limits its duration.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at a base URL. It opens a connection for each call: answers don't
// name their request, so on a connection that is in use again, a late second copy of one would be taken
// for the next. A prefill would get the KV cache of another prompt.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{DialContext: upconn.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}}}
}

// Base returns the base URL of the engine.
func (c *Client) Base() string { return c.base }

// Prefill computes the KV cache of a prompt, which p doesn't have. The engine keeps it for export to another
// engine under PrefillResult.Handle.
func (c *Client) Prefill(ctx context.Context, p Prefill, prompt []byte) (r PrefillResult, err error) {
	defer fault.Annotate(&err, "prefill")
	r, err = post[PrefillResult](ctx, c, "/v1/prefill", p, prompt)
	if err == nil && r.Handle == "" {
		err = eris.New("the answer names no handle")
	}
	return r, err
}

// Import makes the engine copy a KV cache from the engine at i.Source.
func (c *Client) Import(ctx context.Context, i Import) (err error) {
	defer fault.Annotate(&err, "import KV cache")
	_, err = post[struct{}](ctx, c, "/v1/kv/import", i, nil)
	return err
}

// Cancel stops a request and frees the memory that the engine has allocated for it.
func (c *Client) Cancel(ctx context.Context, request string) (err error) {
	defer fault.Annotate(&err, "cancel")
	_, err = post[struct{}](ctx, c, "/v1/cancel", Cancel{request}, nil)
	return err
}

// Order makes the engine load or unload a model. When the engine refuses the order as stale,
// Order returns an error and the largest fencing token that the engine has seen.
func (c *Client) Order(ctx context.Context, o Order) (newestFencingToken uint64, err error) {
	defer fault.Annotate(&err, "order for model %s (load: %t)", o.Model, o.Load)
	_, err = post[struct{}](ctx, c, "/v1/orders", o, nil)
	var s *StatusError
	if errors.As(err, &s) && s.Status == http.StatusPreconditionFailed {
		var stale StaleOrder
		_ = json.Unmarshal([]byte(s.Text), &stale)
		return stale.NewestFencingToken, err
	}
	return 0, err
}

// ListAllocations lists the requests for which the engine has memory allocated.
func (c *Client) ListAllocations(ctx context.Context) (a Allocations, err error) {
	defer fault.Annotate(&err, "list allocations")
	resp, err := c.do(ctx, http.MethodGet, "/v1/held", nil, nil)
	if err != nil {
		return Allocations{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return a, json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a)
}

// Decode generates a response to a prompt, which d doesn't have, and calls f with the text of each token. It returns f's
// error, and io.ErrUnexpectedEOF if the response ends without its end marker.
func (c *Client) Decode(ctx context.Context, d Decode, prompt []byte, f func(text string) error) (err error) {
	defer fault.Annotate(&err, "decode")
	resp, err := c.do(ctx, http.MethodPost, "/v1/decode", d, prompt)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	s := bufio.NewScanner(resp.Body)
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
	return eris.Wrap(io.ErrUnexpectedEOF, "response has no end marker")
}

// post sends in, with a prompt if there is one, as JSON and returns the decoded response body; for an empty body it returns
// the zero value.
func post[T any](ctx context.Context, c *Client, path string, in any, prompt []byte) (out T, err error) {
	resp, err := c.do(ctx, http.MethodPost, path, in, prompt)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out)
	if err == io.EOF {
		err = nil
	}
	return out, err
}

// do sends a request with in and a prompt as its JSON body, or without a body if in is nil. The caller
// closes the body of the response, whose status is 200 OK.
func (c *Client) do(ctx context.Context, method, path string, in any, prompt []byte) (*http.Response, error) {
	var body io.Reader
	var size int64
	if in != nil {
		var err error
		if body, size, err = requestBody(in, prompt); err != nil {
			return nil, err
		}
	}
	u, err := url.JoinPath(c.base, path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = size
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		t, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
		return nil, &StatusError{resp.StatusCode, string(bytes.TrimSpace(t))}
	}
	return resp, nil
}
