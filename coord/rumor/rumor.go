// Package rumor puts together what members of the mesh learn from each other besides the members
// themselves, as mesh.Rumors.
package rumor

import (
	"time"

	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/wire"
)

// Rumors are the tables whose content members exchange.
type Rumors struct {
	Poison *poison.Table
}

// New returns rumors with empty tables.
func New() Rumors { return Rumors{Poison: poison.New()} }

// Report returns what others should know.
func (r Rumors) Report(now time.Time) *wire.Rumors {
	return &wire.Rumors{Suspects: r.Poison.Report(now)}
}

// Merge adds what another member knows. It reports whether others should hear of it at once.
func (r Rumors) Merge(now time.Time, m *wire.Rumors) (urgent bool) {
	return r.Poison.Merge(now, m.Suspects)
}
