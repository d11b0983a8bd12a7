package oai

import (
	"encoding/json"

	"cranberrypoint.example/coord/fault"
)

// ParseFactor is how many times the size of a body Parse uses at most, besides the body.
const ParseFactor = 4

// StreamOptions are the options of a streamed completion.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is a request for a completion.
type Request struct {
	Model string
	// Prompt is the text of a text completion, or the messages of a chat as "role: content" lines.
	Prompt []byte
	// Parts are ids of the first parts of the prompt that other requests may share: its messages, or the whole prompt of a text
	// completion. The same text has the same id, which doesn't show the text.
	Parts []string
	// MaxOutputTokens is the requested limit on output tokens, 0 if there is none.
	MaxOutputTokens int64
	Stream          bool
	StreamOptions   *StreamOptions
}

// document is the JSON of a request. One for a chat completion has messages, and one for a text completion has a prompt.
// Unknown fields are ignored.
type document struct {
	Model               string         `json:"model"`
	Messages            messages       `json:"messages"`
	Prompt              *text          `json:"prompt"`
	MaxTokens           int64          `json:"max_tokens"`
	MaxCompletionTokens int64          `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
}

// Parse decodes and validates a request: for a chat completion if isChat is true,
// otherwise for a text completion. Errors have the code fault.BadRequest.
func Parse(b []byte, isChat bool) (*Request, *fault.Error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fault.NotRun(fault.BadRequest, "the body is not a JSON request: %v", err)
	}
	switch {
	case d.Model == "":
		return nil, fault.NotRun(fault.BadRequest, "model is missing")
	case isChat && d.Messages.count == 0:
		return nil, fault.NotRun(fault.BadRequest, "messages is missing or empty")
	case !isChat && d.Prompt == nil:
		return nil, fault.NotRun(fault.BadRequest, "prompt is missing")
	case d.MaxTokens < 0 || d.MaxCompletionTokens < 0:
		return nil, fault.NotRun(fault.BadRequest, "max_tokens is below 0")
	case d.N != nil && *d.N != 1:
		return nil, fault.NotRun(fault.BadRequest, "n is %d; only 1 is served", *d.N)
	}
	r := &Request{
		Model:           d.Model,
		Prompt:          d.Messages.lines,
		Parts:           d.Messages.ids,
		MaxOutputTokens: max(d.MaxTokens, d.MaxCompletionTokens),
		Stream:          d.Stream,
		StreamOptions:   d.StreamOptions,
	}
	if d.Prompt != nil {
		r.Prompt = d.Prompt.bytes
		r.Parts = []string{partID(r.Prompt)}
	}
	return r, nil
}
