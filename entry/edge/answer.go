package edge

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/entry/oai"
)

// forwarded writes the answer of a plain service as it comes.
type forwarded struct {
	w       http.ResponseWriter
	started bool
}

func (a *forwarded) begun() bool { return a.started }

func (a *forwarded) head(_ string, x router.Head) error {
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

func (a *forwarded) data(_ string, x router.Write) error {
	if _, err := a.w.Write(x.Data); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *forwarded) end(_ string, x router.Finish) error {
	if x.Err != nil {
		return nil
	}
	for _, v := range x.Trailers {
		a.w.Header().Add(http.TrailerPrefix+v.Name, v.Value)
	}
	return nil
}

// generated writes a completion, streamed or whole.
type generated struct {
	w       http.ResponseWriter
	request *oai.Request
	chat    bool
	arrived time.Time
	metrics *metrics
	last    time.Time
	text    strings.Builder
	started bool
}

func (a *generated) begun() bool { return a.started }

func (a *generated) head(string, router.Head) error { return nil }

func (a *generated) data(name string, x router.Write) error {
	a.observe()
	if !a.request.Stream {
		a.text.Write(x.Data)
		return nil
	}
	if err := a.start(name); err != nil {
		return err
	}
	return a.event(a.part(name, string(x.Data)))
}

// observe records the latency of a token.
func (a *generated) observe() {
	now := time.Now()
	if a.last.IsZero() {
		a.metrics.first.Observe(now.Sub(a.arrived).Seconds())
	} else {
		a.metrics.between.Observe(now.Sub(a.last).Seconds())
	}
	a.last = now
}

// start begins a streamed answer.
func (a *generated) start(name string) error {
	if a.started {
		return nil
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	if !a.chat {
		return nil
	}
	r := a.response(name, "chat.completion.chunk")
	r.Choices = []oai.Choice{{Delta: &oai.Delta{Role: "assistant"}}}
	return a.event(r)
}

func (a *generated) response(name, object string) oai.Response {
	return oai.Response{
		ID:      name,
		Object:  object,
		Created: a.arrived.Unix(),
		Model:   a.request.Model,
		Choices: []oai.Choice{},
	}
}

func (a *generated) part(name, text string) oai.Response {
	if a.chat {
		r := a.response(name, "chat.completion.chunk")
		r.Choices = []oai.Choice{{Delta: &oai.Delta{Content: text}}}
		return r
	}
	r := a.response(name, "text_completion")
	r.Choices = []oai.Choice{{Text: &text}}
	return r
}

// event writes one server-sent event.
func (a *generated) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.line(string(b))
}

func (a *generated) line(s string) error {
	if _, err := a.w.Write([]byte("data: " + s + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *generated) end(name string, x router.Finish) error {
	if x.Err != nil {
		return a.event(oai.NewErrorBody(x.Err))
	}
	u := &oai.Usage{
		PromptTokens:     x.Usage.PromptTokens,
		CompletionTokens: x.Usage.OutputTokens,
		TotalTokens:      x.Usage.PromptTokens + x.Usage.OutputTokens,
		Details:          &oai.PromptDetails{CachedTokens: x.Usage.CachedTokens},
	}
	if a.request.Stream {
		return a.endStream(name, u)
	}
	return a.whole(name, u)
}

func (a *generated) endStream(name string, u *oai.Usage) error {
	if err := a.start(name); err != nil {
		return err
	}
	stop := oai.FinishReasonStop
	r := a.part(name, "")
	r.Choices[0].FinishReason = &stop
	if err := a.event(r); err != nil {
		return err
	}
	if o := a.request.StreamOptions; o != nil && o.IncludeUsage {
		r.Choices = []oai.Choice{}
		r.Usage = u
		if err := a.event(r); err != nil {
			return err
		}
	}
	return a.line("[DONE]")
}

func (a *generated) whole(name string, u *oai.Usage) error {
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
	}
	r := a.response(name, object)
	r.Usage = u
	text, stop := a.text.String(), oai.FinishReasonStop
	c := oai.Choice{FinishReason: &stop}
	if a.chat {
		c.Message = &oai.Message{Role: "assistant", Content: oai.Content(text)}
	} else {
		c.Text = &text
	}
	r.Choices = append(r.Choices, c)
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(r)
}
