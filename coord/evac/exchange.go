package evac

import (
	"time"

	"cranberrypoint.example/coord/wire"
)

// Report returns what is in force for other processes; nil as long as there was no evacuation.
func (t *Table) Report(now time.Time) *wire.Evacuations {
	m := t.Encode(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.wasUsed {
		return nil
	}
	m.Epoch, m.Revision, m.AgeMicros = t.last.Epoch, t.last.Revision, now.Sub(t.last.ReadAt).Microseconds()
	return m
}

// Encode returns what is in force without its position in the store, for a message that states that
// itself.
func (t *Table) Encode(now time.Time) *wire.Evacuations {
	listed, kept := t.Listed()
	m := &wire.Evacuations{DataCentres: listed}
	for _, k := range kept {
		m.Kept = append(m.Kept, &wire.KeptEvacuation{DataCentre: k.DataCentre, RemainingMicros: k.Until.Sub(now).Microseconds()})
	}
	return m
}

// DecodeKept returns the evacuations that another process keeps. The time left is bounded by the
// time for which this process would keep them.
func DecodeKept(now time.Time, m *wire.Evacuations) (l []Kept) {
	for _, k := range m.GetKept() {
		d := min(time.Duration(k.RemainingMicros)*time.Microsecond, restoreGrace)
		l = append(l, Kept{k.DataCentre, now.Add(d)})
	}
	return l
}

// Merge updates the table by what another process reports; nil changes nothing.
func (t *Table) Merge(now time.Time, m *wire.Evacuations) Change {
	if m == nil || m.AgeMicros < 0 {
		return Change{}
	}
	return t.Update(now, List{
		Epoch:       m.Epoch,
		Revision:    m.Revision,
		ReadAt:      now.Add(-time.Duration(m.AgeMicros) * time.Microsecond),
		DataCentres: m.DataCentres,
		Kept:        DecodeKept(now, m),
	})
}
