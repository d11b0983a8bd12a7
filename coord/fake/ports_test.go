package fake

import "testing"

// TestProcessesShareNoPort lets two allocators that begin at the same block, as those of two
// processes may, hand out more ports than a block has. No port may be handed out twice.
func TestProcessesShareNoPort(t *testing.T) {
	a, b := &allocator{}, &allocator{}
	seen := map[string]bool{}
	for range 3 * blockPorts {
		for _, x := range []*allocator{a, b} {
			s, err := x.address()
			if err != nil {
				t.Fatal(err)
			}
			if seen[s] {
				t.Fatalf("%s was handed out twice", s)
			}
			seen[s] = true
		}
	}
	for _, l := range append(a.marks, b.marks...) {
		_ = l.Close()
	}
}
