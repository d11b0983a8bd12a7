package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// agentSilenceTimeout is the time without a state after which an agent counts as gone.
	agentSilenceTimeout = 1500 * time.Millisecond
	// resubscribeDelay is the pause after a lost agent.
	resubscribeDelay = 300 * time.Millisecond
	// maxSubscriptions is the number of agents that an entry follows: each sends some states a
	// second, and what an entry spends on them mustn't grow with the fleet.
	maxSubscriptions = 64
	// minSubscriptionsPerService is the number of each service's agents that it follows, if there are so
	// many: enough engines of both stages, some of which may fail.
	minSubscriptionsPerService = 12
)

// subscription keeps what one agent tells of its engine.
type subscription struct {
	member     *wire.Member
	cancel     context.CancelFunc
	state      *wire.PlaceState
	receivedAt time.Time
	// pendingReservations counts the places that this entry waits for there.
	pendingReservations int
	// prefillTokens is the number of prompt tokens that this entry has there.
	prefillTokens int64
}

// hasFreshState reports whether the agent told its state lately.
func (f *subscription) hasFreshState(now time.Time) bool {
	return f != nil && f.state != nil && now.Sub(f.receivedAt) < agentSilenceTimeout
}

// selectAgents parts the agents into those that an entry follows and the others. Each agent of a
// large fleet is followed by about as many entries as any other of its service.
func selectAgents(entry string, agents []*wire.Member) (followed, others []*wire.Member) {
	if len(agents) <= maxSubscriptions {
		return agents, nil
	}
	services := map[string][]string{}
	for _, m := range agents {
		services[m.Service] = append(services[m.Service], m.Name)
	}
	chosen := map[string]bool{}
	for _, names := range services {
		for _, n := range rank.Top(entry, names, max(minSubscriptionsPerService, maxSubscriptions*len(names)/len(agents))) {
			chosen[n] = true
		}
	}
	for _, m := range agents {
		if chosen[m.Name] {
			followed = append(followed, m)
		} else {
			others = append(others, m)
		}
	}
	return followed, others
}

// updateSubscriptions starts and ends the followers so that each live agent that is chosen has one.
func (p *Proxy) updateSubscriptions(agents []*wire.Member) {
	agents, others := selectAgents(p.settings.VM, agents)
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.unsubscribed)
	for _, m := range others {
		p.unsubscribed[m.Upstream] = true
	}
	live := map[string]bool{}
	for _, m := range agents {
		live[m.Upstream] = true
		f := p.subscriptions[m.Upstream]
		if f != nil && f.member.Address == m.Address && f.member.Incarnation == m.Incarnation {
			continue
		}
		if f != nil {
			f.cancel()
		}
		ctx, cancel := context.WithCancel(p.ctx)
		f = &subscription{member: m, cancel: cancel}
		p.subscriptions[m.Upstream] = f
		p.tasks.Go(func() { p.runSubscription(ctx, f) })
	}
	for a, f := range p.subscriptions {
		if !live[a] {
			f.cancel()
			delete(p.subscriptions, a)
		}
	}
}

// runSubscription takes in what an agent tells until the context ends.
func (p *Proxy) runSubscription(ctx context.Context, f *subscription) {
	for ctx.Err() == nil {
		err := p.receiveStates(ctx, f)
		p.mu.Lock()
		was := f.state != nil
		f.state = nil
		p.mu.Unlock()
		if was && ctx.Err() == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-lost", "agent": f.member.Name}).WithError(err).Warn("agent")
		}
		select {
		case <-time.After(resubscribeDelay):
		case <-ctx.Done():
		}
	}
}

func (p *Proxy) receiveStates(ctx context.Context, f *subscription) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(agentSilenceTimeout, cancel)
	defer silent.Stop()
	c, release, err := p.links.Get(ctx, f.member.Address)
	if err != nil {
		return err
	}
	defer release(false)
	s, err := wire.NewDRPCMeshClient(c).Follow(ctx, &wire.FollowRequest{Entry: p.settings.VM})
	if err != nil {
		return err
	}
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		silent.Reset(agentSilenceTimeout)
		p.mu.Lock()
		if f.state == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-found", "agent": f.member.Name, "stage": m.Stage.String()}).Info("agent")
		}
		f.state = m
		f.receivedAt = time.Now()
		p.mu.Unlock()
	}
}
