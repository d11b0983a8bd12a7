// Package quota keeps a workspace's rate and burst across the fleet without shared
// state.
//
// The limit is split into shares that sum to the whole, one in each data centre, each
// held by one agent. A holder earns tokens for its shares only while it has authority,
// and an entry puts a reservation together from one holder or several. All amounts
// inside are integers in millionths of a token, so that nothing is made by rounding.
package quota

import (
	"time"

	"cranberrypoint.example/coord/assert"
)

// micro is the number of inner units in a token.
const micro = 1_000_000

// SettledRetention is how long a settled reservation's name is remembered.
const SettledRetention = 2 * time.Minute

// ReservationTimeout is how long a reservation may stay open before it counts as used.
const ReservationTimeout = 15 * time.Minute

// Limit are the rate and burst of one share.
type Limit struct {
	// Rate is in millionths of a token a second.
	Rate int64
	// Burst is in millionths of a token.
	Burst int64
}

// ShareLimit returns the terms of one of n equal shares of a rate in tokens a second and
// a burst in tokens.
func ShareLimit(rate, burst int64, n int) Limit {
	return Limit{Rate: rate * micro / int64(n), Burst: burst * micro / int64(n)}
}

type share struct {
	terms   Limit
	balance int64
	at      time.Time
	// epoch is the one that must be sealed before the share earns; 0 once it does.
	epoch uint64
}

type reservation struct {
	workspace string
	granted   int64
	settled   bool
	keep      time.Time
}

// Holder is the state of one agent's shares. Use NewHolder.
type Holder struct {
	shares       map[string]*share
	reservations map[string]*reservation
	authority    time.Time
	sealed       uint64
	epoch        uint64
	issued       int64
}

// NewHolder returns a holder without authority or shares.
func NewHolder() *Holder {
	return &Holder{
		shares:       map[string]*share{},
		reservations: map[string]*reservation{},
	}
}

// Issued returns the tokens granted and not given back over the holder's life.
func (h *Holder) Issued() int64 { return h.issued / micro }

// Authorize lets the holder earn until a deadline. An earlier deadline than the one
// in force changes nothing.
func (h *Holder) Authorize(now, until time.Time) {
	for _, s := range h.shares {
		h.earn(s, now)
	}
	if until.After(h.authority) {
		h.authority = until
	}
}

// Authorized reports whether the holder may earn and grant.
func (h *Holder) Authorized(now time.Time) bool { return before(now, h.authority) }

// SetShare sets the terms of a workspace's share. A new share starts empty and earns once
// the epoch is sealed.
func (h *Holder) SetShare(now time.Time, workspace string, t Limit, epoch uint64) {
	s := h.shares[workspace]
	if s == nil {
		s = &share{at: now, epoch: epoch}
		h.shares[workspace] = s
	}
	h.earn(s, now)
	s.terms = t
	s.balance = min(s.balance, t.Burst)
}

// Seal lets shares earn from now on whose epoch is sealed.
func (h *Holder) Seal(now time.Time, epoch uint64) {
	if epoch <= h.sealed {
		return
	}
	h.sealed = epoch
	for _, s := range h.shares {
		if s.epoch != 0 && s.epoch <= epoch {
			s.epoch = 0
			s.at = now
		}
	}
}

// DropShare gives up a workspace's share.
func (h *Holder) DropShare(workspace string) {
	delete(h.shares, workspace)
}

// HasShare reports whether the holder has a share of a workspace.
func (h *Holder) HasShare(workspace string) bool { return h.shares[workspace] != nil }

// earn adds what a share has earned until now or the end of the authority.
func (h *Holder) earn(s *share, now time.Time) {
	until := now
	if h.authority.Before(until) {
		until = h.authority
	}
	if d := until.Sub(s.at); d > 0 && s.epoch == 0 {
		full := s.terms.Burst - s.balance
		s.balance += min(full, earned(s.terms.Rate, d))
	}
	if now.After(s.at) {
		s.at = now
	}
	assert.That(s.balance >= 0 && s.balance <= max(s.terms.Burst, 0),
		"balance %d of a share with burst %d", s.balance, s.terms.Burst)
}

// earned returns rate times d without overflow.
func earned(rate int64, d time.Duration) int64 {
	seconds := int64(d / time.Second)
	rest := int64(d % time.Second)
	return rate*seconds + rate/micro*rest/int64(time.Second/micro) + rate%micro*rest/int64(time.Second)
}

// ReserveReply is the outcome of a reservation at one holder.
type ReserveReply struct {
	// Granted is in tokens.
	Granted int64
	// Balance is what the share has left, in tokens.
	Balance int64
	// Wait is the time until the missing part has refilled; 0 when nothing is missing.
	Wait time.Duration
	// IsHolder is false when the agent has no such share or no authority.
	IsHolder bool
}

// Reserve takes tokens for a named reservation. A repeated name gets the first answer
// again. With partial, what there is is taken when it is less than asked for.
func (h *Holder) Reserve(now time.Time, name, workspace string, tokens int64, partial bool) ReserveReply {
	s := h.shares[workspace]
	if s == nil || s.epoch != 0 || !before(now, h.authority) {
		return ReserveReply{}
	}
	h.earn(s, now)
	if r := h.reservations[name]; r != nil {
		if r.settled {
			return ReserveReply{IsHolder: true, Balance: s.balance / micro}
		}
		return ReserveReply{Granted: r.granted / micro, Balance: s.balance / micro, IsHolder: true}
	}
	want := tokens * micro
	take := min(want, s.balance/micro*micro)
	missing := want - take
	if missing > 0 && !partial {
		take = 0
	}
	s.balance -= take
	h.issued += take
	h.reservations[name] = &reservation{workspace: workspace, granted: take, keep: now.Add(ReservationTimeout)}
	return ReserveReply{Granted: take / micro, Balance: s.balance / micro, Wait: refill(s.terms, missing), IsHolder: true}
}

func refill(t Limit, missing int64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if t.Rate <= 0 {
		return ReservationTimeout
	}
	return min(time.Duration(float64(missing)/float64(t.Rate)*float64(time.Second)), ReservationTimeout)
}

// Settle gives back what a reservation didn't use, once, and returns it in tokens. A
// name that isn't known is remembered, so that a late Reserve of it takes nothing.
func (h *Holder) Settle(now time.Time, name, workspace string, used int64) int64 {
	r := h.reservations[name]
	if r == nil {
		r = &reservation{workspace: workspace}
		h.reservations[name] = r
	}
	if r.settled {
		return 0
	}
	r.settled = true
	r.keep = now.Add(SettledRetention)
	back := max(r.granted-used*micro, 0)
	h.issued -= back
	if s := h.shares[r.workspace]; s != nil {
		h.earn(s, now)
		s.balance = min(s.balance+back, s.terms.Burst)
	}
	return back / micro
}

// Expire forgets reservations whose time is over. What they hold counts as used.
func (h *Holder) Expire(now time.Time) {
	for n, r := range h.reservations {
		if !now.Before(r.keep) {
			delete(h.reservations, n)
		}
	}
}
