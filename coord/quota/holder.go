// Package quota enforces the rate limit of each workspace across the fleet without
// shared state.
//
// A workspace's limit is a token bucket: a rate and a burst. It is split into shares that
// sum to the whole, one in each data centre. Each share is held by one agent, the
// process beside an upstream, which is then called the holder. A share is refilled only
// while its holder has authority, a lease confirmed by a majority of the VMs of the data
// centre. An entry, the process that takes callers' requests, combines a reservation from
// one holder or several. Internal amounts are integers in millionths of a token, so that
// rounding never creates tokens.
package quota

import (
	"time"

	"cranberrypoint.example/coord/assert"
)

const microsPerToken = 1_000_000

// SettledRetention is how long the name of a settled reservation is remembered.
const SettledRetention = 2 * time.Minute

// ReservationTimeout is how long a reservation may stay open before its tokens count as
// used.
const ReservationTimeout = 15 * time.Minute

// Limit is the rate and burst of one share, not those of the whole workspace.
type Limit struct {
	// Rate is in millionths of a token per second.
	Rate int64
	// Burst is in millionths of a token.
	Burst int64
}

// ShareLimit returns the limit of one of n equal shares of a rate in tokens per second
// and a burst in tokens.
func ShareLimit(rate, burst int64, n int) Limit {
	return Limit{Rate: rate * microsPerToken / int64(n), Burst: burst * microsPerToken / int64(n)}
}

type share struct {
	limit Limit
	// balance is in millionths of a token.
	balance int64
	// refilledAt is when refill was last called or the awaited epoch was sealed. The next
	// refill counts from it, so that time without authority never adds tokens.
	refilledAt time.Time
	// awaitedEpoch must be sealed before the share is refilled; 0 once it is.
	awaitedEpoch uint64
}

type reservation struct {
	workspace string
	// granted is in millionths of a token.
	granted int64
	settled bool
	expires time.Time
}

// Holder is the state of the shares that one agent holds. Use NewHolder.
type Holder struct {
	shares          map[string]*share
	reservations    map[string]*reservation
	authorizedUntil time.Time
	sealed          uint64
	// epoch is that of the list in the last UpdateShares.
	epoch uint64
	// issued is in millionths of a token.
	issued int64
}

// NewHolder returns a holder without authority or shares.
func NewHolder() *Holder {
	return &Holder{
		shares:       map[string]*share{},
		reservations: map[string]*reservation{},
	}
}

// Issued returns the tokens granted and not returned since the holder's start.
func (h *Holder) Issued() int64 { return h.issued / microsPerToken }

// Authorize extends the holder's authority to a deadline. A deadline earlier than the
// current one has no effect.
func (h *Holder) Authorize(now, until time.Time) {
	for _, s := range h.shares {
		h.refill(s, now)
	}
	if until.After(h.authorizedUntil) {
		h.authorizedUntil = until
	}
}

// Authorized reports whether the holder may refill its shares and grant tokens.
func (h *Holder) Authorized(now time.Time) bool { return isBefore(now, h.authorizedUntil) }

// SetShare sets the limit of a workspace's share. A new share starts empty and is
// refilled once epoch is sealed; at once if epoch is 0.
func (h *Holder) SetShare(now time.Time, workspace string, l Limit, epoch uint64) {
	s := h.shares[workspace]
	if s == nil {
		s = &share{refilledAt: now, awaitedEpoch: epoch}
		h.shares[workspace] = s
	}
	h.refill(s, now)
	s.limit = l
	s.balance = min(s.balance, l.Burst)
}

// Seal records the newest sealed epoch. Shares that waited for it are refilled from now
// on.
func (h *Holder) Seal(now time.Time, epoch uint64) {
	if epoch <= h.sealed {
		return
	}
	h.sealed = epoch
	for _, s := range h.shares {
		if s.awaitedEpoch != 0 && s.awaitedEpoch <= epoch {
			s.awaitedEpoch = 0
			s.refilledAt = now
		}
	}
}

// DropShare removes a workspace's share.
func (h *Holder) DropShare(workspace string) {
	delete(h.shares, workspace)
}

// HasShare reports whether the holder has a share of a workspace.
func (h *Holder) HasShare(workspace string) bool { return h.shares[workspace] != nil }

// refill adds the tokens that a share has accrued until now, or until its holder's
// authority ended.
func (h *Holder) refill(s *share, now time.Time) {
	until := now
	if h.authorizedUntil.Before(until) {
		until = h.authorizedUntil
	}
	if d := until.Sub(s.refilledAt); d > 0 && s.awaitedEpoch == 0 {
		room := s.limit.Burst - s.balance
		s.balance += min(room, refillAmount(s.limit.Rate, d))
	}
	if now.After(s.refilledAt) {
		s.refilledAt = now
	}
	assert.That(s.balance >= 0 && s.balance <= max(s.limit.Burst, 0),
		"balance %d of a share with burst %d", s.balance, s.limit.Burst)
}

// refillAmount returns rate, which is per second, times d. To avoid overflow it splits d into
// seconds and nanoseconds, and rate into multiples of a million and the rest.
func refillAmount(rate int64, d time.Duration) int64 {
	seconds := int64(d / time.Second)
	rest := int64(d % time.Second)
	return rate*seconds + rate/microsPerToken*rest/int64(time.Second/microsPerToken) + rate%microsPerToken*rest/int64(time.Second)
}

// ReserveReply is a holder's reply to Reserve.
type ReserveReply struct {
	// Granted is in tokens.
	Granted int64
	// Balance is what the share has left, in tokens.
	Balance int64
	// Wait is the time until the missing tokens are refilled; 0 when none are missing, in the
	// reply to a repeated name and when IsHolder is false.
	Wait time.Duration
	// IsHolder reports whether the agent may grant from the share now. It is false when the
	// agent has no such share, the share still waits for an epoch to be sealed, or the agent
	// has no authority.
	IsHolder bool
}

// Reserve takes tokens for a named reservation. It is idempotent: a repeated name gets
// the same grant again, and nothing once it is settled. When partial is true and there
// are fewer tokens than asked for, it grants those that there are; otherwise it grants
// all or none.
func (h *Holder) Reserve(now time.Time, name, workspace string, tokens int64, partial bool) ReserveReply {
	s := h.shares[workspace]
	if s == nil || s.awaitedEpoch != 0 || !isBefore(now, h.authorizedUntil) {
		return ReserveReply{}
	}
	h.refill(s, now)
	if r := h.reservations[name]; r != nil {
		if r.settled {
			return ReserveReply{IsHolder: true, Balance: s.balance / microsPerToken}
		}
		return ReserveReply{Granted: r.granted / microsPerToken, Balance: s.balance / microsPerToken, IsHolder: true}
	}
	want := tokens * microsPerToken
	take := min(want, s.balance/microsPerToken*microsPerToken)
	missing := want - take
	if missing > 0 && !partial {
		take = 0
	}
	s.balance -= take
	h.issued += take
	h.reservations[name] = &reservation{workspace: workspace, granted: take, expires: now.Add(ReservationTimeout)}
	return ReserveReply{Granted: take / microsPerToken, Balance: s.balance / microsPerToken, Wait: refillTime(s.limit, missing), IsHolder: true}
}

// refillTime returns how long a share needs to refill missing millionths of a token, at
// most ReservationTimeout.
func refillTime(l Limit, missing int64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if l.Rate <= 0 {
		return ReservationTimeout
	}
	return min(time.Duration(float64(missing)/float64(l.Rate)*float64(time.Second)), ReservationTimeout)
}

// Settle returns the unused tokens of a reservation to its share and reports how many
// they were; a repeated call returns none. An unknown name is remembered as settled, so
// that a Reserve that arrives after its Settle takes nothing.
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
	r.expires = now.Add(SettledRetention)
	unused := max(r.granted-used*microsPerToken, 0)
	h.issued -= unused
	if s := h.shares[r.workspace]; s != nil {
		h.refill(s, now)
		s.balance = min(s.balance+unused, s.limit.Burst)
	}
	return unused / microsPerToken
}

// Expire forgets the reservations that have expired. The tokens of those still open count
// as used.
func (h *Holder) Expire(now time.Time) {
	for n, r := range h.reservations {
		if !now.Before(r.expires) {
			delete(h.reservations, n)
		}
	}
}
