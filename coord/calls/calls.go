// Package calls defines what an adapter translates: the messages of callers, upstreams
// and the platform's store, as typed values without the names of any protocol.
package calls

import (
	"context"
	"net/http"
	"time"

	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID names the caller's attempt.
	ID string
	// Key is empty if the caller presented none.
	Key string
	// TimeLeft is the time for which the caller will wait; 0 if it didn't say.
	TimeLeft time.Duration
	// PromptTokens and Most are the sizes of the prompt and of the longest answer in tokens;
	// Sized is false if the caller didn't say.
	PromptTokens  int64
	MaxTokens     int64
	HasTokenCount bool
}

// UpstreamParams is what the system adds to a request for an upstream.
type UpstreamParams struct {
	// Instance is the only life of an upstream that may run the request.
	Instance string
	// Workspace is empty on open routes without a key.
	Workspace string
	TimeLeft  time.Duration
	// Prefill asks for the prompt to be read only.
	Prefill bool
	// KVSource is where the KV cache of a prompt that was read elsewhere is fetched from.
	KVSource string
	// Priority is the rank at the upstream; nil leaves it to the upstream.
	Priority *int
}

// Load is what an upstream says of itself beside an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is what the head of an upstream's answer says.
type ResponseInfo struct {
	// NotExecuted is true if the upstream did not and will not run the request.
	NotExecuted bool
	// Signed is true if the answer bears what shows that it is the upstream's own.
	Signed bool
	// WrongInstance is true if another upstream has the address.
	WrongInstance bool
	// Load is nil if the upstream didn't tell it.
	Load *Load
}

// KVHandle names a KV cache that an engine keeps.
type KVHandle struct {
	ID string
}

// Codec translates the messages of callers and upstreams. It is safe for concurrent use.
type Codec interface {
	// RequestInfo reads a caller's headers.
	RequestInfo(h http.Header) (RequestInfo, error)
	// RewriteHeaders turns a caller's headers into those for an upstream.
	RewriteHeaders(h http.Header, s UpstreamParams)
	// ResponseInfo reads the head of an upstream's answer.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// Matches reports whether an upstream's answer can be that to the request of an id.
	Matches(status int, h http.Header, id string) bool
	// KVHandle reads the body of the answer to a prefill.
	KVHandle(body []byte) (KVHandle, error)
	// KVSource returns where a handle at an address can be fetched.
	KVSource(address string, h KVHandle) string
	// FreeRequest returns the method and path that free a handle.
	FreeRequest(h KVHandle) (method, path string)
	// SetRequestID puts the id of a request on the system's own answer.
	SetRequestID(h http.Header, id string)
}

// EngineReport is what a model engine says of itself when asked.
type EngineReport struct {
	Stage wire.Stage
	// Busy is true while the engine carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	Usage          place.Report
}

// Order tells an engine to change its stage.
type Order struct {
	Stage wire.Stage
	// Holder names the process that gives the order.
	Holder string
	// Fence grows with each holder and over its restarts.
	Fence int64
	// ExpectedOrders is the number of accepted orders on which the order was decided.
	ExpectedOrders int64
}

// EngineCodec translates the messages between an agent and its engine.
type EngineCodec interface {
	// ReportPath returns the path at which an engine reports.
	ReportPath() string
	// Report reads an engine's report.
	Report(body []byte) (EngineReport, error)
	// Order returns the path and body of an order.
	Order(o Order) (path string, body []byte, err error)
}

// Listing is what the store held at one moment.
type Listing struct {
	// Rules are the newest configuration; nil if none was published yet.
	Rules *rules.Rules
	// Upstreams are the listed upstreams.
	Upstreams []roster.Upstream
	// Revision is that of the store.
	Revision uint64
	// InvalidEntries counts the entries that name no upstream.
	InvalidEntries int
}

// Store reads what the platform publishes.
type Store interface {
	// List reads everything. What it returns was true at some moment during the call.
	List(ctx context.Context) (Listing, error)
	// Ping makes a call that costs little, to see that the store answers.
	Ping(ctx context.Context) error
}
