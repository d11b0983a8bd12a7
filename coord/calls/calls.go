// Package calls defines the interfaces of the protocol adapters, and the types that they
// exchange: how headers and bodies of the calls of callers, upstreams and model engines are
// translated, and how the platform's store is read. It makes no calls itself. Its types
// carry no header or field names of any protocol.
package calls

import (
	"context"
	"net/http"
	"time"

	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
)

// RequestInfo holds what the headers of a caller's request say.
type RequestInfo struct {
	// ID is the request id. Upstreams repeat it in their responses.
	ID string
	// Key is the API key; empty if the request carries none.
	Key string
	// TimeLeft is the time until the caller gives up; 0 if the request doesn't say.
	TimeLeft time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the limit of the output, both
	// in tokens. They are valid only if HasTokenCount is true.
	PromptTokens  int64
	MaxTokens     int64
	HasTokenCount bool
	// PromptParts identifies the parts of the prompt that other requests may share, in order. The
	// last part of a prompt is the request's own and isn't among them.
	PromptParts []string
	// Resumes is the id of the request whose answer brought the first events of a stream that the
	// caller takes up again after a break; empty if the request names none.
	Resumes string
	// LastEvent is the id of the last event of the stream that the caller has; empty if the request
	// begins a new stream.
	LastEvent string
}

// UpstreamParams holds what is added to a caller's request before it is sent to an upstream.
type UpstreamParams struct {
	// Instance is the id of the upstream process that may execute the request. Another
	// process at the same address, such as after a restart, must refuse it.
	Instance string
	// Workspace is empty if the request carries no API key, which routes that are
	// configured as open allow.
	Workspace string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Prefill asks the engine to compute the KV cache of the prompt only.
	Prefill bool
	// KVSource is where the engine fetches the KV cache of a prompt that another engine has
	// prefilled; empty if the engine computes it itself.
	KVSource string
	// Priority is the scheduling priority at the upstream; nil leaves it to the upstream.
	Priority *int
}

// Load is the load that an upstream reports beside a response.
type Load struct {
	// Running is the number of requests that the upstream executes.
	Running int
	// Waiting is the number of requests in its queue.
	Waiting int
	// Slots is the number of requests that it can execute at once.
	Slots int
	// SlownessPercent is the time that work takes now, in percent of the usual time; 0 if the
	// upstream doesn't name it.
	SlownessPercent int
}

// ResponseInfo holds what the status and headers of an upstream's response say.
type ResponseInfo struct {
	// NotExecuted is true if the upstream did not and will not execute the request.
	NotExecuted bool
	// Signed is true if the response carries the signature that shows that the upstream
	// itself sent it.
	Signed bool
	// WrongInstance is true if another instance than the expected one has the address.
	WrongInstance bool
	// Load is nil if the response doesn't report it.
	Load *Load
	// Leaving is true if the upstream says that it is shutting down. It gets no new requests.
	Leaving bool
	// Pause is the time for which the upstream, which turned the request away, wants no further
	// ones from this process; 0 if it asks for none.
	Pause time.Duration
	// Limit is the number of requests a second that the upstream takes from all its clients together;
	// 0 if it names none.
	Limit float64
	// Cold is the time for which the upstream stays cold, in which it takes few requests; 0 if the response doesn't say.
	// IsWarm is true if it says that the upstream isn't cold.
	Cold   time.Duration
	IsWarm bool
	// Invalid is a header about the upstream's state that can't be understood, as "name: value". What
	// of it is malformed has no effect. It is empty if there is none.
	Invalid string
}

// KVHandle identifies a KV cache that an engine holds.
type KVHandle struct {
	ID string
}

// Codec translates the messages of callers and upstreams. It is safe for concurrent use.
type Codec interface {
	// RequestInfo parses a caller's headers. An error means that the request is malformed.
	RequestInfo(h http.Header) (RequestInfo, error)
	// RewriteHeaders turns a caller's headers, in place, into those for an upstream.
	RewriteHeaders(h http.Header, p UpstreamParams)
	// ResponseInfo parses the status and headers of an upstream's response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// Matches reports whether a response can be the answer to the request whose id is id. It is
	// false if the response repeats another request's id, or omits an id that it must repeat.
	Matches(status int, h http.Header, id string) bool
	// KVHandle parses the body of the response to a prefill request.
	KVHandle(body []byte) (KVHandle, error)
	// KVSource returns the location of a handle at an engine's address, in the form that
	// UpstreamParams.KVSource takes.
	KVSource(address string, h KVHandle) string
	// FreeRequest returns the method and path of the HTTP request that makes the engine free
	// the KV cache of a handle. It sends nothing.
	FreeRequest(h KVHandle) (method, path string)
	// SetRequestID sets the request id on a response that this system generates itself.
	SetRequestID(h http.Header, id string)
}

// EngineReport is a model engine's reply to a status poll.
type EngineReport struct {
	// Stage is the part of the work that the engine does at present: prefill or decode.
	Stage wire.Stage
	// Busy is true while the engine carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Usage is the size of the engine's KV cache, and the part of it that each request in
	// execution (run) holds.
	Usage place.Report
}

// Order tells an engine to change its stage, such as from prefill to decode.
type Order struct {
	Stage wire.Stage
	// Holder names the VM of the process that gives the order.
	Holder string
	// Instance is the engine's instance. If it isn't empty, another instance at the same address
	// must refuse the order.
	Instance string
	// Fence is the fencing token. The token of a new holder is larger than those of earlier
	// holders, and that of one holder grows across its restarts.
	Fence int64
	// ExpectedAcceptedOrders is the EngineReport.AcceptedOrders on which the order is based. It
	// is the order's precondition: the engine refuses the order if it has accepted another one
	// since.
	ExpectedAcceptedOrders int64
}

// EngineCodec translates the messages between an engine and its manager.
type EngineCodec interface {
	// ResponseInfo parses the status and headers of an engine's response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// ReportPath returns the path of the status poll.
	ReportPath() string
	// Report parses the body of the response to a status poll.
	Report(body []byte) (EngineReport, error)
	// Order returns the path, the header and the body of the request that gives an order.
	Order(o Order) (path string, h http.Header, body []byte, err error)
}

// Listing is the content of the platform's store.
type Listing struct {
	// Rules are the newest configuration; nil if none was published yet.
	Rules *rules.Rules
	// RulesEpoch is the epoch in which the rules were read. In the listing of another entry it is
	// lower than Epoch if they have outlived a restore of the store.
	RulesEpoch uint64
	// Upstreams are the registered upstreams.
	Upstreams []roster.Upstream
	// Epoch is the epoch of the store. It rises each time that the store is restored from a copy
	// and has lost its newest writes. The first is at least 1; 0 means that the store, or the entry
	// that sent the listing, states none.
	Epoch uint64
	// Revision is the store's revision when List began to read. Items that are read later may
	// be newer. The same revision may be given out again in a later epoch.
	Revision uint64
	// Evacuated are the data centres whose upstreams get no new work. LacksEvacuated is true if the
	// listing comes from an entry of an earlier release, which doesn't know them.
	Evacuated      []string
	LacksEvacuated bool
	// KeptEvacuations are those that another entry keeps although a restored store has lost them.
	KeptEvacuations []evac.Kept
	// Cold holds the time for which upstreams stay cold, by instance; 0 for one that says that it is warm. Those that don't
	// say are missing.
	Cold map[string]time.Duration
	// InvalidEntries counts the upstreams in the store that are left out of Upstreams because
	// they can't be parsed or are invalid.
	InvalidEntries int
}

// Position returns the position of the listing in the history of the store.
func (l Listing) Position() Position { return Position{Epoch: l.Epoch, Revision: l.Revision} }

// Position orders states of the store. Revisions can be compared only within an epoch.
type Position struct{ Epoch, Revision uint64 }

// Before reports whether a position is older than another.
func (p Position) Before(o Position) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Revision < o.Revision
}

// Store reads the configuration and upstreams that the platform publishes.
type Store interface {
	// List reads everything. Each item that it returns was current at some moment during the
	// call.
	List(ctx context.Context) (Listing, error)
	// Ping makes a cheap call that checks that the store answers.
	Ping(ctx context.Context) error
}
