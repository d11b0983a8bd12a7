package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Measures are the users' four measures of a run, with what explains them.
type Measures struct {
	Profile string  `json:"profile"`
	Label   string  `json:"label"`
	Fault   Fault   `json:"fault"`
	Factor  float64 `json:"factor"`
	// Offered and Good count generated requests.
	Offered int `json:"offered"`
	Good    int `json:"good"`
	// Goodput is in good requests a second; Best is what the engines could serve.
	Goodput float64 `json:"goodput"`
	Best    float64 `json:"best"`
	// Wasted is the part of prefilled tokens that were not used.
	Wasted float64 `json:"wasted-prefill"`
	// Worst is the least good part of what a workspace offered, or of its weighted share
	// of the best where it offered more.
	Worst     float64 `json:"worst-workspace"`
	WorstName string  `json:"worst-workspace-name"`
	// WrongfulRefusals counts requests refused by a limit although within the rate.
	WrongfulRefusals int            `json:"wrongful-refusals"`
	Refusals         map[string]int `json:"refusals"`
	// WrongAnswers counts answers with wrong content.
	WrongAnswers  int                `json:"wrong-answers"`
	Broken        int                `json:"broken-answers"`
	FirstMillis   Percentiles        `json:"first-token-millis"`
	BetweenMillis Percentiles        `json:"between-tokens-millis"`
	Workspaces    map[string]float64 `json:"workspaces"`
	PlainOffered  int                `json:"plain-offered"`
	PlainGood     int                `json:"plain-good"`
}

// Percentiles are read from a histogram.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	maxMicros = int64(time.Minute / time.Microsecond)
	digits    = 3
)

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{at(50), at(95), at(99)}
}

// Measure computes the measures of a run.
func Measure(o *Outcome) Measures {
	m := Measures{
		Profile:    o.Options.Profile.Name,
		Label:      o.Options.Label,
		Fault:      o.Options.Fault,
		Factor:     o.Options.Factor,
		Best:       o.Best,
		Refusals:   map[string]int{},
		Workspaces: map[string]float64{},
	}
	first := hdrhistogram.New(1, maxMicros, digits)
	between := hdrhistogram.New(1, maxMicros, digits)
	offered, good := map[string]int{}, map[string]int{}
	for i := range o.Results {
		r := &o.Results[i]
		m.count(r, first, between)
		if r.Generated {
			offered[r.Workspace]++
			if r.Good() {
				good[r.Workspace]++
			}
		}
	}
	m.Goodput = float64(m.Good) / o.Options.Length.Seconds()
	m.FirstMillis, m.BetweenMillis = percentiles(first), percentiles(between)
	if o.Prefilled > 0 {
		m.Wasted = float64(o.Wasted) / float64(o.Prefilled)
	}
	m.shares(o, offered, good)
	m.WrongfulRefusals = wrongful(o)
	return m
}

func (m *Measures) count(r *Result, first, between *hdrhistogram.Histogram) {
	if r.Wrong {
		m.WrongAnswers++
	}
	if r.Code != "" {
		m.Refusals[r.Code]++
	}
	if !r.Generated {
		m.PlainOffered++
		if r.Whole {
			m.PlainGood++
		}
		return
	}
	m.Offered++
	if r.Status == 200 && !r.Whole {
		m.Broken++
	}
	if r.Good() {
		m.Good++
	}
	if r.First > 0 {
		_ = first.RecordValue(r.First.Microseconds())
	}
	for _, g := range r.Gaps {
		_ = between.RecordValue(max(g.Microseconds(), 1))
	}
}

// shares compares what each workspace got with what it offered, or with its weighted
// max-min share of the best where all offered more than that.
func (m *Measures) shares(o *Outcome, offered, good map[string]int) {
	due := fairShares(o, offered)
	m.Worst = 1
	for _, w := range o.Options.Profile.Workspaces {
		if due[w.Name] == 0 {
			continue
		}
		v := float64(good[w.Name]) / due[w.Name]
		m.Workspaces[w.Name] = v
		if v < m.Worst {
			m.Worst, m.WorstName = v, w.Name
		}
	}
}

// fairShares divides what the engines can serve by weight, giving nobody more than it
// offered (max-min fairness).
func fairShares(o *Outcome, offered map[string]int) map[string]float64 {
	left := o.Best * o.Options.Length.Seconds()
	due := map[string]float64{}
	open := slices.Clone(o.Options.Profile.Workspaces)
	for len(open) > 0 {
		weights := int64(0)
		for _, w := range open {
			weights += w.Weight
		}
		unit := left / float64(weights)
		n := len(open)
		open = slices.DeleteFunc(open, func(w Workspace) bool {
			if float64(offered[w.Name]) > unit*float64(w.Weight) {
				return false
			}
			due[w.Name] = float64(offered[w.Name])
			left -= due[w.Name]
			return true
		})
		if len(open) < n {
			continue
		}
		for _, w := range open {
			due[w.Name] = unit * float64(w.Weight)
		}
		break
	}
	return due
}

// wrongful counts refusals by a limit of requests that a single exact bucket, charged
// with all that was not refused, would have granted.
func wrongful(o *Outcome) int {
	n := 0
	for _, w := range o.Options.Profile.Workspaces {
		rate := headroom * w.Share * (o.Options.Profile.Rate*o.Options.Profile.meanTokens() + o.Options.Profile.PlainRate)
		burst := 10*rate + 4*float64(o.Options.Profile.MaxPrompt)
		level, last := burst, time.Duration(0)
		var rs []Result
		for _, r := range o.Results {
			if r.Workspace == w.Name {
				rs = append(rs, r)
			}
		}
		slices.SortFunc(rs, func(a, b Result) int { return int(a.At - b.At) })
		for _, r := range rs {
			level = min(burst, level+(r.At-last).Seconds()*rate)
			last = r.At
			refused := r.Code == "rate_limit_exceeded" || r.Code == "not_ready"
			if refused && level >= float64(r.Tokens) {
				n++
			}
			if !refused {
				level -= float64(r.Tokens)
			}
		}
	}
	return n
}

// Print writes a table of runs.
func Print(w io.Writer, ms []Measures) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "profile\tpolicy\tfault\tload\toffered\tgood\tof best\twasted\tworst workspace\twrongful\tfirst p95\tbetween p95\twrong\tbroken\tplain")
	for _, m := range ms {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%d\t%.1f%%\t%.2f\t%.2f%%\t%.2f %s\t%d\t%.0f ms\t%.1f ms\t%d\t%d\t%d/%d\n",
			m.Profile, m.Label, m.Fault, m.Factor, m.Offered, 100*float64(m.Good)/float64(max(m.Offered, 1)),
			m.Goodput/m.Best, 100*m.Wasted, m.Worst, m.WorstName, m.WrongfulRefusals,
			m.FirstMillis.P95, m.BetweenMillis.P95, m.WrongAnswers, m.Broken, m.PlainGood, m.PlainOffered)
	}
	_ = t.Flush()
}
