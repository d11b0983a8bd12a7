package proxy

import (
	"context"
	"time"

	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// followSilence is the time without a state after which an agent counts as gone.
	followSilence = 1500 * time.Millisecond
	// followRetry is the pause after a lost agent.
	followRetry = 300 * time.Millisecond
	// mostFollowed is the number of agents that an entry follows: each sends some states a
	// second, and what an entry spends on them mustn't grow with the fleet.
	mostFollowed = 64
	// leastFollowed is the number of each service's agents that it follows, if there are so
	// many: enough engines of both stages, some of which may fail.
	leastFollowed = 12
)

// follower keeps what one agent tells of its engine.
type follower struct {
	member *wire.Member
	stop   context.CancelFunc
	state  *wire.PlaceState
	at     time.Time
	// asked counts the places that this entry waits for there.
	asked int
	// reading is the number of prompt tokens that this entry has there.
	reading int64
}

// heard reports whether the agent told its state lately.
func (f *follower) heard(now time.Time) bool {
	return f != nil && f.state != nil && now.Sub(f.at) < followSilence
}

// choose parts the agents into those that an entry follows and the others. Each agent of a
// large fleet is followed by about as many entries as any other of its service.
func choose(entry string, agents []*wire.Member) (followed, others []*wire.Member) {
	if len(agents) <= mostFollowed {
		return agents, nil
	}
	services := map[string][]string{}
	for _, m := range agents {
		services[m.Service] = append(services[m.Service], m.Name)
	}
	chosen := map[string]bool{}
	for _, names := range services {
		for _, n := range rank.Top(entry, names, max(leastFollowed, mostFollowed*len(names)/len(agents))) {
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

// follow starts and ends the followers so that each live agent that is chosen has one.
func (p *Proxy) follow(agents []*wire.Member) {
	agents, others := choose(p.settings.VM, agents)
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.unfollowed)
	for _, m := range others {
		p.unfollowed[m.Upstream] = true
	}
	live := map[string]bool{}
	for _, m := range agents {
		live[m.Upstream] = true
		f := p.followed[m.Upstream]
		if f != nil && f.member.Address == m.Address && f.member.Incarnation == m.Incarnation {
			continue
		}
		if f != nil {
			f.stop()
		}
		ctx, cancel := context.WithCancel(p.ctx)
		f = &follower{member: m, stop: cancel}
		p.followed[m.Upstream] = f
		p.tasks.Go(func() { p.listen(ctx, f) })
	}
	for a, f := range p.followed {
		if !live[a] {
			f.stop()
			delete(p.followed, a)
		}
	}
}

// listen takes in what an agent tells until the context ends.
func (p *Proxy) listen(ctx context.Context, f *follower) {
	for ctx.Err() == nil {
		err := p.read(ctx, f)
		p.mu.Lock()
		was := f.state != nil
		f.state = nil
		p.mu.Unlock()
		if was && ctx.Err() == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-lost", "agent": f.member.Name}).WithError(err).Warn("agent")
		}
		select {
		case <-time.After(followRetry):
		case <-ctx.Done():
		}
	}
}

func (p *Proxy) read(ctx context.Context, f *follower) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(followSilence, cancel)
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
		silent.Reset(followSilence)
		p.mu.Lock()
		if f.state == nil {
			p.log.WithFields(logrus.Fields{"event": "agent-found", "agent": f.member.Name, "stage": m.Stage.String()}).Info("agent")
		}
		f.state = m
		f.at = time.Now()
		p.mu.Unlock()
	}
}
