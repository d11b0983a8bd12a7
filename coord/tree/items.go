package tree

import "time"

// Values are the settings that every item may override. A nil field is inherited from
// the item's parent. Resolved has a field of the same name for each. Tokens are those of
// model prompts and outputs; a request to a plain service is charged Cost of them.
type Values struct {
	// Rate is the rate limit in tokens per second over the whole fleet.
	Rate *int64 `yaml:"rate,omitempty"`
	// Burst is the size of the token bucket, in tokens over the whole fleet.
	Burst *int64 `yaml:"burst,omitempty"`
	// Weight is the relative weight by which workspaces share the capacity of contended
	// upstreams.
	Weight *int64 `yaml:"weight,omitempty"`
	// Class is the scheduling class, interactive or batch.
	Class *Class `yaml:"class,omitempty"`
	// Idempotent reports whether a request may run more than once.
	Idempotent *bool `yaml:"idempotent,omitempty"`
	// FirstToken is the latency target for the first token or byte.
	FirstToken *time.Duration `yaml:"first-token,omitempty"`
	// BetweenTokens is the latency target between two successive tokens.
	BetweenTokens *time.Duration `yaml:"between-tokens,omitempty"`
	// Timeout is the longest time from the arrival of a request to its end.
	Timeout *time.Duration `yaml:"timeout,omitempty"`
	// Patience is the longest time that a request may be queued before it starts.
	Patience *time.Duration `yaml:"patience,omitempty"`
	// RetryWindow is the time after a request during which callers may retry it with the
	// same idempotency key.
	RetryWindow *time.Duration `yaml:"retry-window,omitempty"`
	// MaxBody is the size limit of request bodies, in bytes.
	MaxBody *int64 `yaml:"max-body,omitempty"`
	// MaxTokens is the size limit of responses, in tokens.
	MaxTokens *int64 `yaml:"max-tokens,omitempty"`
	// Cost is the charge for a request to a plain service, in tokens.
	Cost *int64 `yaml:"cost,omitempty"`
}

// Class is the scheduling class of requests: batch requests can wait longer than
// interactive ones.
type Class string

// The classes.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Root holds the defaults of all items and the settings of the whole fleet.
type Root struct {
	Values `yaml:",inline"`
	// DataCentres are the data centres among which the limits of workspaces are divided.
	DataCentres []string `yaml:"data-centres,omitempty"`
	// SealedRevision is set by the operator to declare that no VM acts any more on a
	// membership list (the VMs of the fleet) from before this revision.
	SealedRevision uint64 `yaml:"sealed-revision,omitempty"`
	// Regions holds the region of each data centre, for the lists of allowed regions.
	Regions map[string]string `yaml:"regions,omitempty"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Values `yaml:",inline"`
	// Parent is the key of the item to inherit from; root if empty.
	Parent string `yaml:"parent,omitempty"`
	// Kind is generate or plain.
	Kind string `yaml:"kind"`
}

// Kinds of services.
const (
	// Generate is the kind of a model engine, which streams tokens.
	Generate = "generate"
	// Plain is the kind of any other HTTP service.
	Plain = "plain"
)

// Workspace is a customer, whose requests are authenticated, limited and charged.
type Workspace struct {
	Values `yaml:",inline"`
	// Parent is the key of the item to inherit from; root if empty.
	Parent string `yaml:"parent,omitempty"`
	// Keys are the SHA-256 hashes of the workspace's API keys, in lower-case hex.
	Keys []string `yaml:"keys,omitempty"`
	// AllowedRegions are the regions in which the workspace's requests may run; empty for any. The
	// lists of its ancestors bind too.
	AllowedRegions []string `yaml:"allowed-regions,omitempty"`
}

// Route maps the requests for a model or a path prefix to a service.
type Route struct {
	Values `yaml:",inline"`
	// Parent is the key of the item to inherit from; the service if empty.
	Parent string `yaml:"parent,omitempty"`
	// Service is the name of the service.
	Service string `yaml:"service"`
	// Model is the model name; set if the service is of kind generate.
	Model string `yaml:"model,omitempty"`
	// Path is the path prefix; set if the service is of kind plain.
	Path string `yaml:"path,omitempty"`
	// Open reports whether requests need no API key.
	Open bool `yaml:"open,omitempty"`
	// AllowedRegions are the regions in which the route's requests may run; empty for any. The lists
	// of its ancestors, and of the request's workspace, bind too.
	AllowedRegions []string `yaml:"allowed-regions,omitempty"`
}

// Doc is the YAML form of a complete settings tree in one file.
type Doc struct {
	Root       Root                 `yaml:"root"`
	Services   map[string]Service   `yaml:"services,omitempty"`
	Workspaces map[string]Workspace `yaml:"workspaces,omitempty"`
	Routes     map[string]Route     `yaml:"routes,omitempty"`
}
