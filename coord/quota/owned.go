package quota

import (
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
)

// UpdateShares sets the holder's shares, the parts of the workspaces' token buckets, to
// those that the settings and a list of VMs assign to the VM. The list's epoch is the
// revision at which its data centre last gained or lost a VM; a list of an older epoch is
// ignored. A share that the VM held without a gap keeps its balance; a new one waits until
// the epoch is sealed, that is, until nobody acts on a list of an earlier epoch; one that
// is assigned to another VM is dropped.
func (h *Holder) UpdateShares(now time.Time, t *tree.Tree, l *fleet.List, vm, dataCentre string) {
	epoch := l.Epoch(dataCentre)
	if epoch < h.epoch {
		return
	}
	agents := l.Agents(dataCentre)
	interim := h.interimVMs(l, vm, dataCentre)
	n := len(t.DataCentres())
	for _, w := range t.WorkspaceNames() {
		top, ok := fleet.Top(agents, w)
		if !ok || top.Name != vm {
			h.DropShare(w)
			continue
		}
		if anyRanksAtLeast(interim, vm, w) {
			h.DropShare(w)
		}
		v, _ := t.WorkspaceValues(w)
		h.SetShare(now, w, ShareLimit(v.Rate, v.Burst, n), h.unsealedEpoch(epoch))
	}
	for w := range h.shares {
		if _, ok := t.WorkspaceValues(w); !ok {
			h.DropShare(w)
		}
	}
	h.epoch = epoch
}

// unsealedEpoch returns the epoch that a new share waits for, or 0 if it is already
// sealed.
func (h *Holder) unsealedEpoch(epoch uint64) uint64 {
	if epoch <= h.sealed {
		return 0
	}
	return epoch
}

// interimVMs returns the VMs whose changes in the list may have made another VM the holder of
// a share since the holder's last epoch: VMs that were added and removed again since, which
// may have held it themselves, and the VM itself if it was removed or added, since others
// held its shares while it was not listed.
func (h *Holder) interimVMs(l *fleet.List, vm, dataCentre string) []fleet.VM {
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

// anyRanksAtLeast reports whether one of vms has a rendezvous score for the workspace that is
// at least vm's, so that another VM may have held the share in the meantime. It is true if
// vms contains vm itself.
func anyRanksAtLeast(vms []fleet.VM, vm, workspace string) bool {
	own := fleet.Score(vm, workspace)
	for _, v := range vms {
		if fleet.Score(v.Name, workspace) >= own {
			return true
		}
	}
	return false
}
