package world_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
)

const (
	// streamPrompt is the prompt of the streams of this file, and streamTokens the length of their answers.
	streamPrompt = "hello"
	streamTokens = 8
	// chunkedHead and unframedHead are heads of answers to decode.
	chunkedHead  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
)

// foreign is a text in the answers of engines in trouble that must not reach a caller.
const foreign = "trouble at the engine"

// tokenLines returns the lines of some tokens of the answer, beginning with one.
func tokenLines(t *testing.T, first, n int64) (lines string) {
	t.Helper()
	for i := first; i < first+n; i++ {
		b, err := json.Marshal(engine.Token{Text: stand.Word(streamPrompt, i)})
		if err != nil {
			t.Fatal(err)
		}
		lines += string(b) + "\n"
	}
	return lines
}

// chunk returns a text as a chunk of a body.
func chunk(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// withLength returns an answer with a status and a body of a stated length.
func withLength(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// startStreams starts a world with enough decode engines for all tries of a stream.
func startStreams(t *testing.T) *world.World {
	p := world.Example("")
	for i := range p.DataCentres {
		p.DataCentres[i].Decode = 3
	}
	return startOf(t, p)
}

// setScript lets a script answer the decode calls of all engines. It gets their number, from 0 on, and the first token.
func setScript(t *testing.T, w *world.World, f func(call, first int64) *stand.RawAnswer) {
	t.Helper()
	var calls atomic.Int64
	s := func(path string, body []byte) *stand.RawAnswer {
		if path != "/v1/decode" {
			return nil
		}
		var d engine.Decode
		if err := json.Unmarshal(body, &d); err != nil {
			t.Error(err)
		}
		return f(calls.Add(1)-1, d.SkipTokens)
	}
	for _, e := range w.Engines {
		e.SetScript(s)
	}
}

// streamRaw sends a request for a completion and reads its answer from the connection.
func streamRaw(t *testing.T, w *world.World, stream bool) raw {
	t.Helper()
	c := dialEntry(t, w)
	defer func() { _ = c.Close() }()
	body := fmt.Sprintf(`{"model":"chat-1","prompt":"%s","max_tokens":%d,"stream":%t}`, streamPrompt, streamTokens, stream)
	_, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", world.ExampleKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return raw{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return raw{r.StatusCode, string(b), err == nil}
}

// checkStream checks that the answer to a stream is whole, or shows that it isn't: it holds a part of the text from its beginning, and
// nothing that an engine in trouble has said.
func checkStream(t *testing.T, name string, a raw, mustBeWhole bool) {
	t.Helper()
	if strings.Contains(a.body, foreign) || strings.Contains(a.body, "HTTP/1.") {
		t.Errorf("%s: status %d, what an engine in trouble has said reached the caller: %q", name, a.status, a.body)
	}
	if a.status != http.StatusOK {
		if mustBeWhole {
			t.Errorf("%s: status %d, %q", name, a.status, a.body)
		}
		return
	}
	text, whole := streamed(t, a.body)
	want := stand.Answer(streamPrompt, streamTokens)
	if !strings.HasPrefix(want, text) {
		t.Errorf("%s: text %q, want %q or its beginning", name, text, want)
	}
	if whole != a.complete || whole && text != want || mustBeWhole && !whole {
		t.Errorf("%s: text %q, marked as whole %t, complete %t, must be whole %t", name, text, whole, a.complete, mustBeWhole)
	}
}

// nextAnswers are what the engine that is to go on with a stream may answer in place of its rest.
func nextAnswers(t *testing.T, first int64) map[string]string {
	return map[string]string{
		"an error":                       withLength("500 Internal Server Error", foreign),
		"an error with a head in it":     withLength("503 Service Unavailable", "HTTP/1.1 500 "+foreign+"\r\n\r\n"),
		"an error as a token":            withLength("502 Bad Gateway", `{"text":"`+foreign+`"}`+"\n"),
		"an error as an end":             withLength("500 Internal Server Error", `{"end":true}`+"\n"),
		"an error cut off":               "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 100\r\n\r\n" + foreign,
		"a plain 200":                    withLength("200 OK", foreign),
		"a plain 200 of another kind":    withLength("200 OK", `{"status":"`+foreign+`"}`),
		"a 200 without tokens":           withLength("200 OK", ""),
		"a 200 with an empty line":       withLength("200 OK", "\n"),
		"a 200 in chunks without any":    chunkedHead + "0\r\n\r\n",
		"a 200 that ends with nothing":   unframedHead,
		"tokens without an end":          withLength("200 OK", tokenLines(t, first, streamTokens-first)),
		"a token cut off":                unframedHead + `{"text":"thes`,
		"a status that doesn't exist":    "HTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\n" + `{"end":true}` + "\n",
		"a head with a blank in a name":  "HTTP/1.1 200 OK\r\nContent Type: a\r\nContent-Length: 13\r\n\r\n" + `{"end":true}` + "\n",
		"a head that is cut off":         "HTTP/1.1 200 OK\r\nContent-Type: applic",
		"nothing":                        "",
		"a redirect":                     "HTTP/1.1 302 Found\r\nLocation: /v1/held\r\nContent-Length: 0\r\n\r\n",
		"a 204":                          "HTTP/1.1 204 No Content\r\n\r\n",
		"a 206 with an end":              withLength("206 Partial Content", `{"end":true}`+"\n"),
		"an end for another one's words": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + `{"end":true}` + "\n",
	}
}

// brokenStreams are the ways in which an engine may break off a stream after some tokens.
func brokenStreams(t *testing.T, made int64) map[string]stand.RawAnswer {
	lines := tokenLines(t, 0, made)
	return map[string]stand.RawAnswer{
		"in chunks, closed":          {Text: chunkedHead + chunk(lines)},
		"in chunks, reset":           {Text: chunkedHead + chunk(lines), Reset: true},
		"without framing, closed":    {Text: unframedHead + lines},
		"without framing, reset":     {Text: unframedHead + lines, Reset: true},
		"inside a line, closed":      {Text: unframedHead + lines + `{"text":"the`},
		"without the end, in chunks": {Text: chunkedHead + chunk(lines) + "0\r\n\r\n"},
	}
}

// TestStreamGoesOnOrShowsItsEnd breaks streams off after some tokens, and lets the engines that are to go on answer something else, once or
// always. Callers must get the whole text or see that it isn't whole, and nothing else in it.
func TestStreamGoesOnOrShowsItsEnd(t *testing.T) {
	for _, made := range []int64{0, 1, streamTokens - 1} {
		t.Run(fmt.Sprintf("after %d tokens", made), func(t *testing.T) {
			t.Parallel()
			w := startStreams(t)
			for name, broken := range brokenStreams(t, made) {
				for next := range nextAnswers(t, made) {
					for _, always := range []bool{false, true} {
						setScript(t, w, func(call, first int64) *stand.RawAnswer {
							switch {
							case call == 0:
								return &broken
							case call == 1 || always:
								return &stand.RawAnswer{Text: nextAnswers(t, first)[next]}
							}
							return nil
						})
						checkStream(t, fmt.Sprintf("%s, then %s, always %t", name, next, always), streamRaw(t, w, true), !always)
					}
				}
			}
		})
	}
}

// TestCompletionIsWholeOrAnError is TestStreamGoesOnOrShowsItsEnd for completions that aren't streamed.
func TestCompletionIsWholeOrAnError(t *testing.T) {
	t.Parallel()
	w := startStreams(t)
	for next := range nextAnswers(t, 0) {
		for _, always := range []bool{false, true} {
			setScript(t, w, func(call, first int64) *stand.RawAnswer {
				if call > 1 && !always {
					return nil
				}
				return &stand.RawAnswer{Text: nextAnswers(t, first)[next]}
			})
			a := streamRaw(t, w, false)
			isWhole := a.status == http.StatusOK && strings.Contains(a.body, stand.Answer(streamPrompt, streamTokens))
			if !a.complete || !isWhole && (a.status < http.StatusBadRequest || !always) || strings.Contains(a.body, foreign) {
				t.Errorf("%s, always %t: status %d, complete %t, %q", next, always, a.status, a.complete, a.body)
			}
		}
	}
}

// TestBrokenPrefillsLeaveNoTrace lets engines answer prefills, or the copies of what they computed, in a way that is no answer, for good or
// twice. Callers must get whole streams or see that they aren't.
func TestBrokenPrefillsLeaveNoTrace(t *testing.T) {
	t.Parallel()
	w := startStreams(t)
	for _, path := range []string{"/v1/prefill", "/v1/kv/import"} {
		for next := range nextAnswers(t, 0) {
			for _, calls := range []int64{2, 1 << 20} {
				var made atomic.Int64
				for _, e := range w.Engines {
					e.SetScript(func(p string, _ []byte) *stand.RawAnswer {
						if p != path || made.Add(1) > calls {
							return nil
						}
						return &stand.RawAnswer{Text: nextAnswers(t, 0)[next]}
					})
				}
				checkStream(t, fmt.Sprintf("%s answered with %s", path, next), streamRaw(t, w, true), calls == 2)
			}
		}
	}
}
