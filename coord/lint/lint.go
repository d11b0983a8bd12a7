// Package lint checks a routing configuration before it is sent to the processes, and compares it with the one in
// force.
//
// It answers operators who find out only from refused requests that a route is hidden behind another or that a limit
// lets nothing through. What the processes would refuse is an error; so is what can never work. What works, but
// probably not as it is meant, is a warning. The package does no I/O.
package lint

import (
	"cmp"
	"slices"

	"cranberrypoint.example/coord/rules"
)

// Severity says how bad a finding is.
type Severity string

// Severities.
const (
	// Error is a finding that makes a part of the configuration useless, or all of it.
	Error Severity = "error"
	// Warning is a finding that an operator should know of.
	Warning Severity = "warning"
)

// Finding is something that is wrong with an item of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Item is "configuration", or the kind and name of a part of it, such as "routes/NAME".
	Item string `json:"item"`
	Text string `json:"text"`
}

// Report is what there is to say of a configuration.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes are the differences from the configuration in force.
	Changes []Change `json:"changes"`
}

// New returns the report of a configuration. inForce is the one to compare it with, or nil.
func New(c rules.Config, inForce *rules.Config) (r Report) {
	k := &checker{config: c, findings: []Finding{}}
	k.checkConfig()
	k.checkServices()
	k.checkRoutes()
	k.checkWorkspaces()
	k.checkLimits()
	r.Findings, r.Changes = k.findings, []Change{}
	if inForce != nil {
		if c.Version <= inForce.Version {
			r.Findings = append(r.Findings, Finding{Error, configItem, "its version is not above the one in force, so it would have no effect"})
		}
		r.Changes = diff(*inForce, c)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return r
}

// configItem is the Finding.Item of a configuration as a whole.
const configItem = "configuration"

// Kinds of items, with which their names in findings and changes begin.
const (
	routeKind     = "routes/"
	serviceKind   = "services/"
	workspaceKind = "workspaces/"
)
