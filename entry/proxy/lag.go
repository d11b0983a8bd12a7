package proxy

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxUsualAge is the age of the configuration above which an entry logs that it lags behind. Store readers and entries
// that ask them stay below it.
const maxUsualAge = 1600 * time.Millisecond

// refreshLag follows whether the configuration is older than usual, so that this is logged once when it begins and once when
// it ends.
type refreshLag struct {
	isLagging bool
	// oldest is the greatest age, and slowest the longest refresh, since the lag began.
	oldest  time.Duration
	slowest time.Duration
}

// observe records the age of the configuration after a refresh. changed is true if the lag began or ended.
func (l *refreshLag) observe(age, took time.Duration) (changed bool) {
	if age <= maxUsualAge {
		changed = l.isLagging
		l.isLagging = false
		return changed
	}
	if !l.isLagging {
		*l = refreshLag{isLagging: true}
		changed = true
	}
	l.oldest, l.slowest = max(l.oldest, age), max(l.slowest, took)
	return changed
}

// logRefreshLag logs the begin and the end of a time in which the configuration is older than usual, with what the last
// refresh said.
func (p *Proxy) logRefreshLag(l *refreshLag, took time.Duration, err error) {
	v := p.snapshot.Load()
	if v == nil || !l.observe(v.age(), took) {
		return
	}
	g := p.log.WithFields(logrus.Fields{
		"version": v.rules.Version(), "age-ms": l.oldest.Milliseconds(), "refresh-ms": l.slowest.Milliseconds(), "store-fails": p.storeFails(),
	})
	if l.isLagging {
		g.WithField("event", "config-lags").WithError(err).Warn("configuration is older than usual")
		return
	}
	g.WithField("event", "config-current").Info("configuration is current again")
}
