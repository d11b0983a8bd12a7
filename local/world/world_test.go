package world_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/entry/oai"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

// patience bounds every wait of a test; it is no claim about speed.
const patience = time.Minute

func start(t *testing.T) *world.World {
	t.Helper()
	return startOf(t, world.Example(""))
}

// startOf starts the deployment of a profile and waits until it serves requests.
func startOf(t *testing.T, p world.Profile) *world.World {
	t.Helper()
	w, stop, err := world.Start(p, world.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	await(t, "all processes are ready", w.Ready)
	await(t, "the limit has tokens", func() bool {
		q := call(t, w, "GET", "/decisions/warm", world.ExampleKey, "")
		return q.status == http.StatusOK
	})
	return w
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type result struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func call(t *testing.T, w *world.World, method, path, key, body string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+w.Entries[w.Order[0]].CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	q.Header.Set("X-Copy", "Bearer "+key)
	q.Header.Set("Cookie", "a=1; k="+key)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return result{a.StatusCode, a.Header, a.Trailer, string(b)}
}

func errorOf(t *testing.T, r result) oai.ErrorInfo {
	t.Helper()
	var e oai.ErrorBody
	if err := json.Unmarshal([]byte(r.body), &e); err != nil {
		t.Fatalf("%v in %q", err, r.body)
	}
	return e.Error
}

// streamed returns the text of a streamed answer and whether it is marked as whole.
func streamed(t *testing.T, body string) (text string, whole bool) {
	t.Helper()
	for _, l := range strings.Split(body, "\n") {
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			return text, true
		}
		var r oai.Response
		if err := json.Unmarshal([]byte(d), &r); err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Choices {
			if c.Delta != nil {
				text += c.Delta.Content
			}
			if c.Text != nil {
				text += *c.Text
			}
		}
	}
	return text, false
}

func TestStreamedAnswer(t *testing.T) {
	w := start(t)
	r := call(t, w, "POST", "/v1/completions", world.ExampleKey, `{"model":"chat-1","prompt":"hello","max_tokens":12,"stream":true}`)
	text, whole := streamed(t, r.body)
	if diff := cmp.Diff(stand.Answer("hello", 12), text); diff != "" || !whole {
		t.Errorf("answer (-want +got), whole %t:\n%s", whole, diff)
	}
	if r.header.Get("X-Request-Id") == "" {
		t.Error("the answer has no request id")
	}
}

func TestWholeAnswer(t *testing.T) {
	w := start(t)
	r := call(t, w, "POST", "/v1/chat/completions", world.ExampleKey,
		`{"model":"summary-1","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":5}`)
	var got oai.Response
	if err := json.Unmarshal([]byte(r.body), &got); err != nil {
		t.Fatal(err)
	}
	stop := oai.FinishReasonStop
	want := oai.Response{
		ID:      r.header.Get("X-Request-Id"),
		Object:  "chat.completion",
		Created: got.Created,
		Model:   "summary-1",
		Choices: []oai.Choice{{
			Message:      &oai.Message{Role: "assistant", Content: stand.Answer("user: hi\n", 5)},
			FinishReason: &stop,
		}},
		Usage: &oai.Usage{PromptTokens: 3, CompletionTokens: 5, TotalTokens: 8, Details: &oai.PromptDetails{}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func TestPlainCallCarriesNoKey(t *testing.T) {
	w := start(t)
	body := strings.Repeat("b", 100_000)
	r := call(t, w, "PUT", "/decisions/7?x=1&k="+world.ExampleKey, world.ExampleKey, body)
	if diff := cmp.Diff("PUT /decisions/7\n"+body, r.body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("100000", r.trailer.Get("X-Count")); diff != "" {
		t.Errorf("trailer (-want +got):\n%s", diff)
	}
	for n, s := range w.Services {
		heads, urls := s.Seen()
		var b bytes.Buffer
		for i, h := range heads {
			_ = h.Write(&b)
			b.WriteString(urls[i] + "\n")
		}
		if strings.Contains(b.String(), world.ExampleKey) {
			t.Errorf("%s saw the key:\n%s", n, b.String())
		}
	}
}

func TestRefusals(t *testing.T) {
	w := start(t)
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		want                          oai.ErrorInfo
	}{
		{
			"wrong key", "POST", "/v1/completions", "nope", `{"model":"chat-1","prompt":"x"}`, 401,
			oai.ErrorInfo{Message: "the key is missing, wrong or withdrawn", Type: "invalid_request_error", Code: "invalid_api_key", Ran: "no"},
		},
		{
			"unknown model", "POST", "/v1/completions", world.ExampleKey, `{"model":"nope","prompt":"x"}`, 404,
			oai.ErrorInfo{Message: "no route serves this model or path", Type: "invalid_request_error", Code: "route_not_found", Ran: "no"},
		},
		{
			"unknown path", "GET", "/nope", world.ExampleKey, "", 404,
			oai.ErrorInfo{Message: "no route serves /nope", Type: "invalid_request_error", Code: "route_not_found", Ran: "no"},
		},
		{
			"unknown path without a key", "GET", "/nope", "", "", 401,
			oai.ErrorInfo{Message: "the key is missing, wrong or withdrawn", Type: "invalid_request_error", Code: "invalid_api_key", Ran: "no"},
		},
		{
			"malformed", "POST", "/v1/completions", world.ExampleKey, `{"model":`, 400,
			oai.ErrorInfo{Message: "the body is not a JSON request: unexpected end of JSON input", Type: "invalid_request_error", Code: "invalid_request", Ran: "no"},
		},
		{
			"oversized", "POST", "/decisions/1", world.ExampleKey, strings.Repeat("x", 1<<20+1), 413,
			oai.ErrorInfo{Message: "the body is larger than 1048576 bytes", Type: "invalid_request_error", Code: "request_too_large", Ran: "no"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := call(t, w, c.method, c.path, c.key, c.body)
			if diff := cmp.Diff(c.status, r.status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, errorOf(t, r)); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	w := start(t)
	r := call(t, w, "GET", "/status/9", "", "")
	if diff := cmp.Diff("GET /status/9\n", r.body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
