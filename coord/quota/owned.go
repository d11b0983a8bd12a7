package quota

import (
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
)

// UpdateShares sets the holder's shares to those that settings and a list give to the VM. A
// share that was held all along goes on; a new one waits until the list's epoch is
// sealed; one that went elsewhere is dropped.
func (h *Holder) UpdateShares(now time.Time, t *tree.Tree, l *fleet.List, vm, dataCentre string) {
	epoch := l.Epoch(dataCentre)
	if epoch < h.epoch {
		return
	}
	agents := l.Agents(dataCentre)
	between := h.passed(l, vm, dataCentre)
	n := len(t.DataCentres())
	for _, w := range t.WorkspaceNames() {
		top, ok := fleet.Top(agents, w)
		if !ok || top.Name != vm {
			h.DropShare(w)
			continue
		}
		if outranked(between, vm, w) {
			h.DropShare(w)
		}
		v, _ := t.OfWorkspace(w)
		h.SetShare(now, w, ShareLimit(v.Rate, v.Burst, n), h.needs(epoch))
	}
	for w := range h.shares {
		if _, ok := t.OfWorkspace(w); !ok {
			h.DropShare(w)
		}
	}
	h.epoch = epoch
}

// needs returns the epoch that a new share waits for, or 0 when it is sealed.
func (h *Holder) needs(epoch uint64) uint64 {
	if epoch <= h.sealed {
		return 0
	}
	return epoch
}

// passed returns the VMs that came after the holder's last epoch and are gone again,
// and the VM itself if it was listed anew: they may have held a share in between.
func (h *Holder) passed(l *fleet.List, vm, dataCentre string) []fleet.VM {
	var r []fleet.VM
	for _, g := range l.RemovedVMs(dataCentre) {
		if g.CreatedRevision > h.epoch || g.Name == vm {
			r = append(r, g.VM)
		}
	}
	if v, ok := l.VM(vm); ok && v.CreatedRevision > h.epoch {
		r = append(r, v)
	}
	return r
}

// outranked reports whether one of some VMs could have held a share before vm.
func outranked(vms []fleet.VM, vm, workspace string) bool {
	own := fleet.Score(vm, workspace)
	for _, v := range vms {
		if fleet.Score(v.Name, workspace) >= own {
			return true
		}
	}
	return false
}
