package edge

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/entry/oai"
)

// plainWriter writes the answer of a plain service, an HTTP upstream that is no model
// engine, to the caller as it arrives.
type plainWriter struct {
	w       http.ResponseWriter
	started bool
}

func (a *plainWriter) hasStarted() bool { return a.started }

func (a *plainWriter) writeHead(_ string, x router.Head) error {
	a.started = true
	h := a.w.Header()
	for _, v := range x.Head.Headers {
		if v.Name != requestIDHeader {
			h.Add(v.Name, v.Value)
		}
	}
	a.w.WriteHeader(int(x.Head.Status))
	return http.NewResponseController(a.w).Flush()
}

func (a *plainWriter) writeData(_ string, x router.Write) error {
	if _, err := a.w.Write(x.Data); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// finish adds the trailers. A failed answer ends without them.
func (a *plainWriter) finish(_ string, x router.Finish) error {
	if x.Err != nil {
		return nil
	}
	for _, v := range x.Trailers {
		a.w.Header().Add(http.TrailerPrefix+v.Name, v.Value)
	}
	return nil
}

// textCopies is how many times the text of a completion that isn't streamed is in memory, as it grows and is encoded.
const textCopies = 4

// completionWriter writes a chat or text completion in the OpenAI format: as server-sent
// events if the caller asked for a stream, otherwise as one JSON document.
type completionWriter struct {
	w       http.ResponseWriter
	conn    *intake.Conn
	request *oai.Request
	isChat  bool
	arrived time.Time
	metrics *metrics
	// lastDataAt is the time of the latest data; zero before the first.
	lastDataAt time.Time
	// text collects a completion that is not streamed.
	text    strings.Builder
	started bool
}

func (a *completionWriter) hasStarted() bool { return a.started }

// writeHead does nothing: only plain services send a head.
func (a *completionWriter) writeHead(string, router.Head) error { return nil }

func (a *completionWriter) writeData(name string, x router.Write) error {
	a.observeData()
	if !a.request.Stream {
		if !a.conn.Grow(textCopies * int64(len(x.Data))) {
			return intake.ErrNoRoom
		}
		a.text.Write(x.Data)
		return nil
	}
	if err := a.startStream(name); err != nil {
		return err
	}
	return a.writeEvent(a.newChunk(name, string(x.Data)))
}

// observeData records the time to the first data or the time since the previous data. The
// metrics count the data of one router.Write as one token.
func (a *completionWriter) observeData() {
	now := time.Now()
	if a.lastDataAt.IsZero() {
		a.metrics.firstToken.Observe(now.Sub(a.arrived).Seconds())
	} else {
		a.metrics.betweenTokens.Observe(now.Sub(a.lastDataAt).Seconds())
	}
	a.lastDataAt = now
}

// startStream writes the response headers of a streamed completion, and for a chat the
// chunk that carries the role. It does nothing if the stream has started.
func (a *completionWriter) startStream(name string) error {
	if a.started {
		return nil
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	if !a.isChat {
		return nil
	}
	r := a.newResponse(name, "chat.completion.chunk")
	r.Choices = []oai.Choice{{Delta: &oai.Delta{Role: "assistant"}}}
	return a.writeEvent(r)
}

// newResponse returns a response without choices.
func (a *completionWriter) newResponse(name, object string) oai.Response {
	return oai.Response{
		ID:      name,
		Object:  object,
		Created: a.arrived.Unix(),
		Model:   a.request.Model,
		Choices: []oai.Choice{},
	}
}

// newChunk returns the chunk of a streamed completion that carries text.
func (a *completionWriter) newChunk(name, text string) oai.Response {
	if a.isChat {
		r := a.newResponse(name, "chat.completion.chunk")
		r.Choices = []oai.Choice{{Delta: &oai.Delta{Content: text}}}
		return r
	}
	r := a.newResponse(name, "text_completion")
	r.Choices = []oai.Choice{{Text: &text}}
	return r
}

// writeEvent writes v as JSON in a server-sent event.
func (a *completionWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.writeEventData(string(b))
}

// writeEventData writes and flushes a server-sent event with the data s.
func (a *completionWriter) writeEventData(s string) error {
	if _, err := a.w.Write([]byte("data: " + s + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// finish ends a stream, with an error event if it failed, or writes the completion that
// was collected.
func (a *completionWriter) finish(name string, x router.Finish) error {
	if x.Err != nil {
		return a.writeEvent(oai.NewErrorBody(x.Err))
	}
	u := &oai.Usage{
		PromptTokens:     x.Usage.PromptTokens,
		CompletionTokens: x.Usage.OutputTokens,
		TotalTokens:      x.Usage.PromptTokens + x.Usage.OutputTokens,
		Details:          &oai.PromptDetails{CachedTokens: x.Usage.CachedTokens},
	}
	if a.request.Stream {
		return a.finishStream(name, u)
	}
	return a.writeCompletion(name, u)
}

// finishStream writes the finish reason, the usage if the caller asked for it, and the
// end marker of the stream.
func (a *completionWriter) finishStream(name string, u *oai.Usage) error {
	if err := a.startStream(name); err != nil {
		return err
	}
	stop := oai.FinishReasonStop
	r := a.newChunk(name, "")
	r.Choices[0].FinishReason = &stop
	if err := a.writeEvent(r); err != nil {
		return err
	}
	if o := a.request.StreamOptions; o != nil && o.IncludeUsage {
		r.Choices = []oai.Choice{}
		r.Usage = u
		if err := a.writeEvent(r); err != nil {
			return err
		}
	}
	return a.writeEventData("[DONE]")
}

// writeCompletion writes a completion that is not streamed.
func (a *completionWriter) writeCompletion(name string, u *oai.Usage) error {
	object := "text_completion"
	if a.isChat {
		object = "chat.completion"
	}
	r := a.newResponse(name, object)
	r.Usage = u
	text, stop := a.text.String(), oai.FinishReasonStop
	c := oai.Choice{FinishReason: &stop}
	if a.isChat {
		c.Message = &oai.Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	r.Choices = append(r.Choices, c)
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(r)
}
