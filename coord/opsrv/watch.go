package opsrv

import (
	"time"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// WatchInvariants sets a handler for violated invariants that counts, logs and traces each
// violation. Without it a violation panics.
func WatchInvariants(r prometheus.Registerer, l logrus.FieldLogger, t *trace.Log) {
	c := Counter(r, "invariant_violations_total", "Invariants that did not hold.")
	assert.SetHandler(func(v *assert.Violation) {
		c.Inc()
		l.Error(v.Error())
		t.Add(time.Now(), trace.Event{Kind: trace.Violation, Detail: v.Text})
	})
}
