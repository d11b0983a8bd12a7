// Package load drives a deployment over loopback with open-loop arrivals, and measures
// what the users measure: goodput under both latency targets, wasted prefill, the
// worst-served workspace, and requests refused although within a workspace's rate.
package load

import (
	"fmt"
	"strings"
	"time"

	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
)

// Targets of the users.
const (
	FirstToken    = 670 * time.Millisecond
	BetweenTokens = 34 * time.Millisecond
	// within is the part of the gaps of one answer that must be within BetweenTokens.
	within = 0.95
)

// Workspace is one customer in a profile.
type Workspace struct {
	Name string
	// Share is its part of the nominal load.
	Share float64
	// Weight is its part of contended upstreams.
	Weight int64
	// Greed multiplies its arrivals.
	Greed float64
}

// Profile is a deployment and its nominal load.
type Profile struct {
	Name       string
	Workspaces []Workspace
	// Rate is the nominal rate of generated requests a second.
	Rate float64
	// PlainRate is the nominal rate of plain calls a second.
	PlainRate float64
	// MinPrompt and MaxPrompt bound the size of a prompt in tokens.
	MinPrompt, MaxPrompt int64
	// MinTokens and MaxTokens bound the size of an answer in tokens.
	MinTokens, MaxTokens int64
	// Prefixes is the number of prompt beginnings that requests share.
	Prefixes int
	Centres  []world.DataCentre
	Engine   stand.EngineProfile
}

// engine is the speed of the profiles' engines.
func engine() stand.EngineProfile {
	e := stand.DefaultEngine
	e.TokenPeriod = 25 * time.Millisecond
	e.PrefillRate = 20_000
	e.CacheBlocks = 24
	return e
}

// Profiles are the deployments of the users.
func Profiles() []Profile {
	return []Profile{review(), ravenal()}
}

// review is the doctoral review service: four data centres, eight assistant runners and
// four portal runners, a few large workspaces.
func review() Profile {
	p := Profile{
		Name: "review",
		Workspaces: []Workspace{
			{"university", 0.45, 4, 1}, {"institute", 0.30, 3, 1}, {"college", 0.15, 1, 1},
			{"academy", 0.07, 1, 1}, {"faculty", 0.03, 1, 1},
		},
		Rate: 20, PlainRate: 10,
		MinPrompt: 100, MaxPrompt: 6000, MinTokens: 20, MaxTokens: 100,
		Prefixes: 12,
		Engine:   engine(),
	}
	for i := range 4 {
		p.Centres = append(p.Centres, world.DataCentre{Name: fmt.Sprintf("dc%d", i), Entries: 1, Prefill: 1, Decode: 1, Plain: 1})
	}
	return p
}

// ravenal is the ordering service: three data centres, six summary runners and three
// app runners.
func ravenal() Profile {
	p := review()
	p.Name = "ravenal"
	p.Workspaces = []Workspace{
		{"rounds", 0.40, 3, 1}, {"offices", 0.30, 2, 1}, {"bakers", 0.15, 1, 1},
		{"stalls", 0.10, 1, 1}, {"carts", 0.05, 1, 1},
	}
	p.Rate, p.PlainRate = 15, 30
	p.Centres = p.Centres[:3]
	return p
}

// key returns the example key of a workspace.
func key(workspace string) string { return "key-of-" + workspace }

// headroom is how much of its nominal load a workspace has bought.
const headroom = 1.6

// meanTokens is what a generated request is charged on average at most, in tokens.
func (p Profile) meanTokens() float64 {
	return float64(p.MinPrompt+p.MaxPrompt)/2 + float64(p.MinTokens+p.MaxTokens)/2
}

// Settings returns the settings document of the profile.
func (p Profile) Settings() []byte {
	var b strings.Builder
	b.WriteString("root:\n  timeout: 20s\n  patience: 1s\n  retry-window: 1s\n  data-centres: [")
	for i, c := range p.Centres {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(c.Name)
	}
	b.WriteString("]\nservices:\n  " + world.EngineService + ": {kind: generate}\n  " + world.PlainService + ": {kind: plain}\nworkspaces:\n")
	for _, w := range p.Workspaces {
		rate := int64(headroom * w.Share * (p.Rate*p.meanTokens() + p.PlainRate))
		fmt.Fprintf(&b, "  %s: {rate: %d, burst: %d, weight: %d, keys: [%s]}\n",
			w.Name, rate, 10*rate+4*p.MaxPrompt, w.Weight, tree.HashKey(key(w.Name)))
	}
	b.WriteString("routes:\n  chat: {service: " + world.EngineService + ", model: chat}\n" +
		"  orders: {service: " + world.PlainService + ", path: /orders, idempotent: false}\n")
	return []byte(b.String())
}

// World returns the deployment of the profile.
func (p Profile) World() world.Profile {
	return world.Profile{DataCentres: p.Centres, Engine: p.Engine, PlainSlots: 64, Settings: p.Settings()}
}
