package router_test

import (
	"fmt"
	"testing"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// plannedAgents is the number of agents in the planned fleet.
const plannedAgents = 770

// newAgentFleet returns n agents of service gen, half for prefill and half for decode.
func newAgentFleet(n int) []fleet.VM {
	var r []fleet.VM
	stages := []string{fleet.Prefill, fleet.Decode}
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		r = append(r, fleet.VM{
			Name: name, Role: fleet.Agent, DataCentre: "a", Address: name,
			Service: "gen", Stage: stages[i%2], State: fleet.Live,
		})
	}
	return r
}

// BenchmarkRequest measures one request to a model with eight output tokens, for several
// sizes of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, part := range []int{8, 4, 2, 1} {
		n := plannedAgents / part
		// Runners are agents; another name would not match that of earlier results.
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			s, err := tree.FromDoc(1, []byte(settingsDoc))
			if err != nil {
				b.Fatal(err)
			}
			r := router.New(1, router.WithVM("e0", "a"))
			r.Step(fake.Epoch, router.Configured{Tree: s, List: fleet.NewList(1, newAgentFleet(n))})
			b.ReportAllocs()
			id := router.RequestID(0)
			for b.Loop() {
				id++
				runRequest(b, r, id)
			}
		})
	}
}

// runRequest feeds a router all events of a request to a model that succeeds.
func runRequest(b *testing.B, r *router.Router, id router.RequestID) {
	now := fake.Epoch
	var main, prefill router.RunRef
	c := generatedCall("gen")
	for _, x := range r.Step(now, router.Arrived{ID: id, Call: c}) {
		if v, ok := x.(router.Reserve); ok {
			for _, y := range r.Step(now, router.ReserveAnswered{ID: id, VM: v.VM, Reply: &wire.ReserveReply{Granted: v.Tokens, Holder: true}}) {
				if o, ok := y.(router.OpenRun); ok {
					main = o.Ref
				}
			}
			break
		}
	}
	for _, x := range r.Step(now, router.RunGranted{Ref: main}) {
		if o, ok := x.(router.OpenRun); ok {
			prefill = o.Ref
		}
	}
	r.Step(now, router.RunGranted{Ref: prefill})
	r.Step(now, router.RunDone{Ref: prefill, Done: &wire.Done{Handle: "h"}})
	const tokens = 8
	for i := range int64(tokens) {
		r.Step(now, router.RunData{Ref: main, Data: &wire.Data{Offset: 6 * i, Data: []byte("token "), Tokens: 1}})
		r.Step(now, router.Written{ID: id, Offset: 6 * (i + 1)})
	}
	r.Step(now, router.RunDone{Ref: main, Done: &wire.Done{Size: 6 * tokens}})
	if r.Active() != 0 {
		b.Fatal("the request is still active after its last event")
	}
}
