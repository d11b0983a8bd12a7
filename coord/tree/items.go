package tree

import "time"

// Values are the settings that each level may override and lower levels inherit.
type Values struct {
	// Rate is in tokens a second over the whole fleet.
	Rate *int64 `yaml:"rate,omitempty"`
	// Burst is in tokens over the whole fleet.
	Burst *int64 `yaml:"burst,omitempty"`
	// Weight is the share of contended upstreams, relative to other workspaces.
	Weight *int64 `yaml:"weight,omitempty"`
	// Class is interactive or batch.
	Class *Class `yaml:"class,omitempty"`
	// Idempotent says whether a request may be run more than once.
	Idempotent *bool `yaml:"idempotent,omitempty"`
	// FirstToken is the target for the time to the first token or byte.
	FirstToken *time.Duration `yaml:"first-token,omitempty"`
	// BetweenTokens is the target for the time between two tokens.
	BetweenTokens *time.Duration `yaml:"between-tokens,omitempty"`
	// Timeout bounds the time from the arrival of a request to its end.
	Timeout *time.Duration `yaml:"timeout,omitempty"`
	// Patience bounds the time that a request may wait before it starts.
	Patience *time.Duration `yaml:"patience,omitempty"`
	// RetryWindow is how long after a request callers may repeat it under its
	// idempotency key.
	RetryWindow *time.Duration `yaml:"retry-window,omitempty"`
	// MaxBody is the largest request body in bytes.
	MaxBody *int64 `yaml:"max-body,omitempty"`
	// MaxTokens is the largest answer in tokens.
	MaxTokens *int64 `yaml:"max-tokens,omitempty"`
	// Cost is the charge for a plain call in tokens.
	Cost *int64 `yaml:"cost,omitempty"`
}

// Class says how long a request can wait.
type Class string

// Classes of routes.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Root holds the defaults.
type Root struct {
	Values `yaml:",inline"`
	// DataCentres are those that share the limits.
	DataCentres []string `yaml:"data-centres,omitempty"`
	// SealedRevision is the operator's word that no VM acts any more on a list of VMs
	// older than this revision.
	SealedRevision uint64 `yaml:"sealed-revision,omitempty"`
}

// Service is a kind of upstream.
type Service struct {
	Values `yaml:",inline"`
	Parent string `yaml:"parent,omitempty"`
	// Kind is generate or plain.
	Kind string `yaml:"kind"`
}

// Kinds of services.
const (
	Generate = "generate"
	Plain    = "plain"
)

// Workspace is a customer.
type Workspace struct {
	Values `yaml:",inline"`
	Parent string `yaml:"parent,omitempty"`
	// Keys are the SHA-256 hashes of the granted keys, in hex.
	Keys []string `yaml:"keys,omitempty"`
}

// Route maps callers' requests to a service.
type Route struct {
	Values  `yaml:",inline"`
	Parent  string `yaml:"parent,omitempty"`
	Service string `yaml:"service"`
	// Model is the model name of a generated route.
	Model string `yaml:"model,omitempty"`
	// Path is the path prefix of a plain route.
	Path string `yaml:"path,omitempty"`
	// Open routes need no key.
	Open bool `yaml:"open,omitempty"`
}

// Doc is a whole settings tree in one file.
type Doc struct {
	Root       Root                 `yaml:"root"`
	Services   map[string]Service   `yaml:"services,omitempty"`
	Workspaces map[string]Workspace `yaml:"workspaces,omitempty"`
	Routes     map[string]Route     `yaml:"routes,omitempty"`
}
