package opsrv

import (
	"time"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// WatchInvariants counts, logs and traces violations instead of ending the process.
func WatchInvariants(r prometheus.Registerer, l logrus.FieldLogger, t *trace.Log) {
	c := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "cranberrypoint",
		Name:      "invariant_violations_total",
		Help:      "Invariants that did not hold.",
	})
	r.MustRegister(c)
	assert.SetHandler(func(v *assert.Violation) {
		c.Inc()
		l.Error(v.Error())
		t.Add(time.Now(), trace.Event{Kind: trace.Violation, Detail: v.Text})
	})
}
