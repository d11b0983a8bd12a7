package proxy

import (
	"maps"
	"math/rand/v2"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

// evacuatedRetryAfter is the retry delay for callers of a service whose data centres are all
// evacuated. Operators withdraw an evacuation in seconds at best.
const evacuatedRetryAfter = 2 * time.Second

// updateEvacuations puts the evacuations of a listing into force that was requested at an instant.
// p.mu must be held.
func (p *Proxy) updateEvacuations(now moment, l calls.Listing, readAt clock.Instant) {
	c := p.evac.Update(now.time, evac.List{
		Epoch:       l.Epoch,
		Revision:    l.Revision,
		ReadAt:      now.before(readAt),
		DataCentres: l.Evacuated,
		Kept:        l.KeptEvacuations,
	})
	p.forgetReturned(now.time)
	for _, d := range c.Began {
		p.logEvacuation("evacuation-began", d, l)
		p.metrics.evacuations.WithLabelValues(d, "began").Inc()
		p.logIfEmpty(d)
	}
	for _, d := range c.Ended {
		p.logEvacuation("evacuation-ended", d, l)
		p.metrics.evacuations.WithLabelValues(d, "ended").Inc()
		p.returnedAt[d] = now.time
		p.assumeReturnedCold(now.time, d)
	}
}

// assumeReturnedCold holds the upstreams of a data centre that was taken back to be cold for the usual
// time of their service: they may have been restarted meanwhile. p.mu must be held.
func (p *Proxy) assumeReturnedCold(now time.Time, dataCentre string) {
	v := p.snapshot.Load()
	if v == nil {
		return
	}
	for _, u := range p.roster.Usable() {
		if u.DataCentre == dataCentre {
			p.assumeCold(now, v.rules, u, pacer.SourceReturn)
		}
	}
}

// logEvacuation logs a change, with the number of upstreams in the data centre: none if the
// operator has mistaken its name. p.mu must be held.
func (p *Proxy) logEvacuation(event, dataCentre string, l calls.Listing) {
	n := 0
	for _, u := range p.roster.Usable() {
		if u.DataCentre == dataCentre {
			n++
		}
	}
	p.log.WithFields(logrus.Fields{
		"event": event, "data-centre": dataCentre, "upstreams": n, "sends": p.sendsTo[dataCentre], "epoch": l.Epoch, "revision": l.Revision,
	}).Info("evacuation of a data centre changed")
}

// sendBegan counts a send to an upstream. p.mu must be held.
func (p *Proxy) sendBegan(u roster.Upstream) {
	p.sendsTo[u.DataCentre]++
	p.metrics.dataCentreSends.WithLabelValues(u.DataCentre).Inc()
}

// sendEnded ends what sendBegan has begun. p.mu must be held.
func (p *Proxy) sendEnded(u roster.Upstream) {
	p.sendsTo[u.DataCentre]--
	p.metrics.dataCentreSends.WithLabelValues(u.DataCentre).Dec()
	if p.evac.Contains(u.DataCentre) {
		p.logIfEmpty(u.DataCentre)
	}
}

// logIfEmpty logs that an evacuated data centre has no more requests of this entry. p.mu must be
// held.
func (p *Proxy) logIfEmpty(dataCentre string) {
	if p.sendsTo[dataCentre] > 0 {
		return
	}
	p.log.WithFields(logrus.Fields{"event": "data-centre-empty", "data-centre": dataCentre}).Info("no request of this entry runs in an evacuated data centre")
}

// checkEvacuated refuses a request at once if all upstreams of its service are in evacuated data
// centres.
func (p *Proxy) checkEvacuated(x *exchange) *fault.Error {
	if x.mayHaveRun || !p.snapshot.Load().evacuated[x.service.Name] {
		return nil
	}
	return overloadedFault(evacuatedRetryAfter, "all upstreams of the service are in evacuated data centres")
}

// isReturning reports whether an upstream is to be left out of a choice because its data centre was
// just taken back; see evac.Share. p.mu must be held.
func (p *Proxy) isReturning(now time.Time, u roster.Upstream) bool {
	at, ok := p.returnedAt[u.DataCentre]
	if !ok {
		return false
	}
	return rand.Float64() >= evac.Share(now, at)
}

// forgetReturned forgets the data centres whose upstreams take part in all choices again. p.mu must be
// held.
func (p *Proxy) forgetReturned(now time.Time) {
	maps.DeleteFunc(p.returnedAt, func(_ string, at time.Time) bool { return evac.Share(now, at) >= 1 })
}

// orAll returns the items of a list that pass a test, or the whole list if none does.
func orAll[T any](l []T, passes func(T) bool) (passed []T) {
	for _, x := range l {
		if passes(x) {
			passed = append(passed, x)
		}
	}
	if len(passed) == 0 {
		return l
	}
	return passed
}
