package quota

import (
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
)

// Rebase sets the holder's shares to those that settings and a list give to the VM. A
// share that is new starts empty; one that went elsewhere is dropped.
func (h *Holder) Rebase(now time.Time, t *tree.Tree, l *fleet.List, vm, dataCentre string) {
	n := len(t.DataCentres())
	agents := l.All(func(v fleet.VM) bool {
		return v.Role == fleet.Agent && v.DataCentre == dataCentre
	})
	for _, w := range t.WorkspaceNames() {
		top, ok := fleet.Top(agents, w)
		if !ok || top.Name != vm {
			h.Drop(w)
			continue
		}
		v, _ := t.OfWorkspace(w)
		h.Hold(now, w, ShareOf(v.Rate, v.Burst, n))
	}
	for w := range h.shares {
		if _, ok := t.OfWorkspace(w); !ok {
			h.Drop(w)
		}
	}
}
