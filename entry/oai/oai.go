// Package oai defines the JSON documents of the OpenAI-compatible HTTP interface: chat
// completions, text completions and the list of models.
package oai

import "cranberrypoint.example/coord/fault"

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
