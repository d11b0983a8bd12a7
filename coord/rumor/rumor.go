// Package rumor puts together what members of the mesh learn from each other besides the members
// themselves, as mesh.Rumors.
package rumor

import (
	"time"

	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/wire"
)

// Rumors are the tables whose content members exchange.
type Rumors struct {
	Poison *poison.Table
	Pacer  *pacer.Table
	Evac   *evac.Table
	// Versions are those of all upstreams.
	Versions *origin.History
	// ReadsStore is true if the process gets the evacuations and the versions from the store or with listings, and
	// only passes them on here. The others learn them from it; they don't pass versions on.
	ReadsStore bool
}

// New returns rumors with empty tables, of a process that uses no limits itself.
func New() Rumors {
	return Rumors{Poison: poison.New(), Pacer: pacer.New(pacer.NoShare), Evac: evac.New(), Versions: origin.NewHistory()}
}

// Report returns what is new, for any other member.
func (r Rumors) Report(now time.Time) *wire.Rumors {
	m := &wire.Rumors{
		Suspects:     r.Poison.Recent(now),
		SuspectsHash: r.Poison.Hash(now),
		Limits:       r.Pacer.Report(now),
		Evacuations:  r.Evac.Report(now),
		Cold:         r.Pacer.ReportCold(now),
	}
	if r.ReadsStore {
		m.Versions = r.Versions.Report(now)
	}
	return m
}

// Reply returns what the sender of a request should know: all evidence, if it has other evidence than this
// process.
func (r Rumors) Reply(now time.Time, q *wire.Rumors) *wire.Rumors {
	m := r.Report(now)
	if q.GetSuspectsHash() != m.SuspectsHash {
		m.Suspects = r.Poison.All(now)
	}
	return m
}

// Merge adds what another member knows. It reports whether others should hear of it at once.
func (r Rumors) Merge(now time.Time, m *wire.Rumors) (urgent bool) {
	r.Pacer.Merge(now, m.Limits)
	if !r.ReadsStore {
		r.Evac.Merge(now, m.Evacuations)
		r.Versions.Merge(now, m.Versions)
	}
	isNews := r.Pacer.MergeCold(now, m.Cold)
	return r.Poison.Merge(now, m.Suspects) || isNews
}
