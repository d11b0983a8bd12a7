package quota

import (
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
)

// HolderOf returns the agent that holds a workspace's share in a data centre under a list
// of VMs: the one with the highest rendezvous score. The share is the data centre's part
// of the workspace's token bucket.
func HolderOf(l *fleet.List, dataCentre, workspace string) (fleet.VM, bool) {
	return fleet.Top(l.Agents(dataCentre), workspace)
}

// Holders returns the agents that hold the shares of a workspace. The one in the data
// centre home comes first.
func Holders(t *tree.Tree, l *fleet.List, home, workspace string) []fleet.VM {
	var r []fleet.VM
	for _, c := range t.DataCentres() {
		v, ok := HolderOf(l, c, workspace)
		switch {
		case !ok:
		case c == home:
			r = append([]fleet.VM{v}, r...)
		default:
			r = append(r, v)
		}
	}
	return r
}
