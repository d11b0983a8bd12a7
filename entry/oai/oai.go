// Package oai defines the JSON documents of the OpenAI-compatible HTTP interface: chat
// completions, text completions and the list of models.
package oai

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"cranberrypoint.example/coord/fault"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a text. In JSON it is a string, or a list of parts whose texts are joined. The
// type of a part is not checked.
type Content string

// part is one element of a content that is a list.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler. It accepts both forms of a content.
func (c *Content) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		*c = Content(s)
		return nil
	}
	var ps []part
	if err := json.Unmarshal(b, &ps); err != nil {
		return err
	}
	var t strings.Builder
	for _, p := range ps {
		t.WriteString(p.Text)
	}
	*c = Content(t.String())
	return nil
}

// StreamOptions are the options of a streamed completion.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is a request for a completion. One for a chat completion has Messages, and one for
// a text completion has a Prompt. Unknown fields are ignored.
type Request struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Prompt              *Content       `json:"prompt"`
	MaxTokens           int64          `json:"max_tokens"`
	MaxCompletionTokens int64          `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
}

// Parse decodes and validates a request: for a chat completion if isChat is true,
// otherwise for a text completion. Errors have the code fault.BadRequest.
func Parse(b []byte, isChat bool) (*Request, *fault.Error) {
	var r Request
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fault.NotRun(fault.BadRequest, "the body is not a JSON request: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, fault.NotRun(fault.BadRequest, "model is missing")
	case isChat && len(r.Messages) == 0:
		return nil, fault.NotRun(fault.BadRequest, "messages is missing or empty")
	case !isChat && r.Prompt == nil:
		return nil, fault.NotRun(fault.BadRequest, "prompt is missing")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return nil, fault.NotRun(fault.BadRequest, "max_tokens is below 0")
	case r.N != nil && *r.N != 1:
		return nil, fault.NotRun(fault.BadRequest, "n is %d; only 1 is served", *r.N)
	}
	return &r, nil
}

// PromptText returns the prompt if it is set, and otherwise the messages as "role: content"
// lines.
func (r *Request) PromptText() string {
	if r.Prompt != nil {
		return string(*r.Prompt)
	}
	var t strings.Builder
	for _, m := range r.Messages {
		t.WriteString(m.Role)
		t.WriteString(": ")
		t.WriteString(string(m.Content))
		t.WriteString("\n")
	}
	return t.String()
}

// PartIDs returns ids of the parts of the prompt that other requests may share: its messages, or the whole
// prompt of a text completion. The same text has the same id, which doesn't show the text.
func (r *Request) PartIDs() (ids []string) {
	if r.Prompt != nil {
		return []string{partID(string(*r.Prompt))}
	}
	for _, m := range r.Messages {
		ids = append(ids, partID(m.Role+": "+string(m.Content)))
	}
	return ids
}

func partID(text string) string {
	h := sha256.Sum256([]byte(text))
	return hex.EncodeToString(h[:partIDBytes])
}

// partIDBytes is the length of the id of a part, enough to tell all parts apart.
const partIDBytes = 8

// MaxOutputTokens returns the requested limit on output tokens, the larger one of
// max_tokens and max_completion_tokens, or 0 if there is none.
func (r *Request) MaxOutputTokens() int64 { return max(r.MaxTokens, r.MaxCompletionTokens) }

// Usage counts the tokens of a request and its completion.
type Usage struct {
	PromptTokens     int64          `json:"prompt_tokens"`
	CompletionTokens int64          `json:"completion_tokens"`
	TotalTokens      int64          `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails counts the prompt tokens that were read from a cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Choice is the completion in a response; a response has at most one. Message is set for a
// chat, Delta for a chunk of a streamed chat, and Text for a text completion.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a chat message that a chunk of a stream carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Response is a completion or a chunk of a streamed one. Created is in Unix seconds.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// FinishReasonStop is the finish reason of a completion that ended normally.
const FinishReasonStop = "stop"

// ErrorBody is the answer to a failed request.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo describes the error. Ran tells whether the request ran at an upstream: "no",
// "yes" or "unknown".
type ErrorInfo struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     string  `json:"ran"`
}

// NewErrorBody returns the answer that reports an error.
func NewErrorBody(e *fault.Error) ErrorBody {
	kind := "server_error"
	switch e.Code {
	case fault.BadRequest, fault.BadKey, fault.NoRoute, fault.TooLarge, fault.Duplicate:
		kind = "invalid_request_error"
	case fault.OverLimit:
		kind = "rate_limit_error"
	}
	return ErrorBody{ErrorInfo{Message: e.Text, Type: kind, Code: string(e.Code), Ran: fault.RanText(e.Ran)}}
}

// Model is an item of a ModelList. Created is in Unix seconds, 0 if unknown.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
