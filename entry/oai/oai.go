// Package oai holds the messages of the OpenAI-compatible HTTP interface.
package oai

import (
	"encoding/json"
	"strings"

	"cranberrypoint.example/coord/fault"
)

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is text, given as a string or as a list of text parts.
type Content string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form.
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

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is a chat or text completion request. Other fields are ignored.
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

// Parse reads a request and checks it.
func Parse(b []byte, chat bool) (*Request, *fault.Error) {
	var r Request
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fault.NotRun(fault.BadRequest, "the body is not a JSON request: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, fault.NotRun(fault.BadRequest, "model is missing")
	case chat && len(r.Messages) == 0:
		return nil, fault.NotRun(fault.BadRequest, "messages is missing or empty")
	case !chat && r.Prompt == nil:
		return nil, fault.NotRun(fault.BadRequest, "prompt is missing")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return nil, fault.NotRun(fault.BadRequest, "max_tokens is below 0")
	case r.N != nil && *r.N != 1:
		return nil, fault.NotRun(fault.BadRequest, "n is %d; only 1 is served", *r.N)
	}
	return &r, nil
}

// PromptText returns the prompt as one text.
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

// MaxOutputTokens returns the longest answer asked for in tokens, or 0.
func (r *Request) MaxOutputTokens() int64 { return max(r.MaxTokens, r.MaxCompletionTokens) }

// Usage counts tokens.
type Usage struct {
	PromptTokens     int64          `json:"prompt_tokens"`
	CompletionTokens int64          `json:"completion_tokens"`
	TotalTokens      int64          `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails tells how many prompt tokens came from a cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Choice is the one answer of a response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a part of a streamed chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Response is a whole answer or a part of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// FinishReasonStop is the finish reason of a whole answer.
const FinishReasonStop = "stop"

// ErrorBody is the answer to a request that failed.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo describes a failure. Ran says whether the request ran: no, yes or unknown.
type ErrorInfo struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     string  `json:"ran"`
}

// NewErrorBody returns the body that tells an error.
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

// Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
