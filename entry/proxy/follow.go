package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// agentSilenceTimeout is how long an agent may send no state before it counts as lost.
	agentSilenceTimeout = 1500 * time.Millisecond
	// resubscribeDelay is the pause before reconnecting to a lost agent.
	resubscribeDelay = 300 * time.Millisecond
	// targetSubscriptions is about the number of agents whose state an entry receives;
	// minSubscriptionsPerService may exceed it. Each agent sends several states a second, and an
	// entry's cost for them must not grow with the fleet.
	targetSubscriptions = 64
	// minSubscriptionsPerService is the least number of agents of each service that an entry
	// subscribes to, if the service has so many: enough engines of both stages to allow for
	// failures.
	minSubscriptionsPerService = 12
)

// engineManager identifies the process that manages an engine: its agent, or the entry that
// manages an engine without an agent.
type engineManager struct {
	// name is unique among managers: the agent's VM, or the instance of an engine without one.
	name string
	// process is the name of the process, and incarnation that of its run.
	process     string
	incarnation int64
	// address is that of the process's drpc server, upstream that of the engine.
	address  string
	upstream string
	// instance is the engine's instance; empty at an agent, which manages but one engine.
	instance string
	service  string
}

// subscription holds the state that one manager streams of its engine.
type subscription struct {
	manager    engineManager
	cancel     context.CancelFunc
	state      *wire.PlaceState
	receivedAt time.Time
	// pendingReservations counts the reservations for which this entry awaits a reply.
	pendingReservations int
	// prefillTokens is the number of prompt tokens that this entry has in prefill there.
	prefillTokens int64
}

// hasFreshState reports whether the agent has sent a state recently.
func (s *subscription) hasFreshState(now time.Time) bool {
	return s != nil && s.state != nil && now.Sub(s.receivedAt) < agentSilenceTimeout
}

// selectManagers splits the managers into those that an entry subscribes to and the others. In a
// large fleet, the managers of a service's engines each get about the same number of subscribers.
func selectManagers(entry string, managers []engineManager) (selected, others []engineManager) {
	if len(managers) <= targetSubscriptions {
		return managers, nil
	}
	services := map[string][]string{}
	for _, m := range managers {
		services[m.service] = append(services[m.service], m.name)
	}
	isSelected := map[string]bool{}
	for _, names := range services {
		for _, n := range rank.Top(entry, names, max(minSubscriptionsPerService, targetSubscriptions*len(names)/len(managers))) {
			isSelected[n] = true
		}
	}
	for _, m := range managers {
		if isSelected[m.name] {
			selected = append(selected, m)
		} else {
			others = append(others, m)
		}
	}
	return selected, others
}

// updateSubscriptions starts and ends subscriptions so that each selected manager has one. p.mu
// must be held.
func (p *Proxy) updateSubscriptions(managers []engineManager) {
	managers, others := selectManagers(p.settings.VM, managers)
	clear(p.unsubscribed)
	for _, m := range others {
		p.unsubscribed[m.upstream] = true
	}
	live := map[string]bool{}
	for _, m := range managers {
		live[m.upstream] = true
		sub := p.subscriptions[m.upstream]
		if sub != nil && sub.manager == m {
			continue
		}
		if sub != nil {
			sub.cancel()
		}
		ctx, cancel := context.WithCancel(p.ctx)
		sub = &subscription{manager: m, cancel: cancel}
		p.subscriptions[m.upstream] = sub
		p.tasks.Go(func() { p.runSubscription(ctx, sub) })
	}
	for a, sub := range p.subscriptions {
		if !live[a] {
			sub.cancel()
			delete(p.subscriptions, a)
		}
	}
}

// runSubscription receives the states of an agent until the context ends, and reconnects when the
// stream breaks.
func (p *Proxy) runSubscription(ctx context.Context, sub *subscription) {
	for ctx.Err() == nil {
		err := p.receiveStates(ctx, sub)
		p.mu.Lock()
		wasFound := sub.state != nil
		sub.state = nil
		p.mu.Unlock()
		if wasFound && ctx.Err() == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-lost", "agent": sub.manager.process, "engine": sub.manager.upstream}).WithError(err).Warn("lost the state stream of an agent")
		}
		select {
		case <-time.After(resubscribeDelay):
		case <-ctx.Done():
		}
	}
}

func (p *Proxy) receiveStates(ctx context.Context, sub *subscription) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(agentSilenceTimeout, cancel)
	defer timer.Stop()
	c, release, err := p.links.Get(ctx, sub.manager.address)
	if err != nil {
		return err
	}
	defer release(false)
	s, err := wire.NewDRPCMeshClient(c).Follow(ctx, &wire.FollowRequest{Entry: p.settings.VM, Instance: sub.manager.instance})
	if err != nil {
		return err
	}
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		timer.Reset(agentSilenceTimeout)
		p.mu.Lock()
		if sub.state == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-found", "agent": sub.manager.process, "engine": sub.manager.upstream, "stage": m.Stage.String()}).Info("receiving the state of an agent")
		}
		sub.state = m
		sub.receivedAt = time.Now()
		p.mu.Unlock()
	}
}
