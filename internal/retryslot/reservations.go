// Package retryslot tells refused requests when to come back, and keeps the place
// of those that come back then.
//
// It answers floods beyond what a pool can do: without it all refused callers come
// back after the same delay, at once, and find their places taken by requests that
// arrived later. A Calendar divides the near future into slots and books refused
// work into the first slots with room, so that those who come back on time bring no
// more work a second than the pool does. An organisation that has less than its share
// booked finds room in slots that others have filled.
//
// A Calendar is pure state: it does no I/O, reads no clock and holds no lock.
package retryslot

import (
	"math/rand/v2"
	"time"
)

// MaxTiers bounds the ranks of tiers.
const MaxTiers = 16

const (
	// slotLength is the length of a slot: short against the seconds that a flooded
	// pool makes callers wait, long enough for the work of one request.
	slotLength = 250 * time.Millisecond
	// horizon is how far ahead work is booked: callers of interactive work have given
	// up on longer delays.
	horizon = 2 * time.Minute
	// earlyTolerance before its time a request counts as on time: clocks of callers
	// and timers differ by less.
	earlyTolerance = slotLength
	// lateTolerance after its time a request counts as on time: the header
	// Retry-After has whole seconds, and the caller needs some time itself.
	lateTolerance = 3 * time.Second
	// ringSlots cover all for which places are kept, and the two cut ones at the ends.
	ringSlots = int((horizon+lateTolerance+earlyTolerance)/slotLength) + 2
	// maxSlotFill of a slot is booked for whoever comes first; the rest is for
	// requests that were never refused.
	maxSlotFill = 0.8
	// maxUnderShareSlotFill of a slot is booked at most, with those whose organisations have
	// less than their share. The pool's order of grants divides what is too much.
	maxUnderShareSlotFill = 1.5
	// returnRateWeight is that of one caller in the moving average of those who come
	// back: some twenty tell.
	returnRateWeight = 0.05
	// maxReservations bounds the places kept, some 2 MB; further work is booked without
	// one.
	maxReservations = 8192
)

// Key names a request over its attempts: the same content of the same caller.
type Key struct {
	Organisation string
	Caller       string
	// Tier is the rank; 0 is the highest.
	Tier int
	// Fingerprint identifies the content; 0 keeps no place.
	Fingerprint uint64
}

// Work is what a refused request would need.
type Work struct {
	Tokens float64
	// Arrived is when the request arrived first.
	Arrived time.Time
	// BacklogTime is the time until the pool has done what goes before the request.
	BacklogTime time.Duration
	// Rate is the work that all pools which book the request do, in tokens a second: a
	// request that was refused everywhere is booked in each, and comes back to one.
	Rate float64
}

// reservation is kept for one request.
type reservation struct {
	at      time.Time
	arrived time.Time
}

// accountKey is an organisation in a tier.
type accountKey struct {
	organisation string
	tier         int
}

func (k Key) accountKey() accountKey {
	return accountKey{k.Organisation, min(max(k.Tier, 0), MaxTiers-1)}
}

// account is what an organisation has booked in a tier.
type account struct {
	// fairFinish is when its share of the pool will have done what it has booked.
	fairFinish time.Time
	// lastCrash is its last slot's time.
	lastReservation time.Time
}

// slot is the work booked for one interval.
type slot struct {
	// number is the start of the interval since the Unix epoch, in slots.
	number int64
	// cumulativeTokens sums, by tier, the tokens of the tier and the higher ones.
	cumulativeTokens [MaxTiers]float64
	keys             []Key
}

// Reservations books refused work.
//
// Invariants: when work is booked into a slot, that of its tier and the higher ones
// there is within maxSlotFill of what the pool does in the slot's time, or within
// maxUnderShareSlotFill if its organisation is behind its share, so the requests told to come
// in a slot bring at most that and one request; a key has one place at most.
type Reservations struct {
	random       *rand.Rand
	ring         [ringSlots]slot
	reservations map[Key]reservation
	// accounts are those of the organisations with work booked ahead, which are
	// counted by tier.
	accounts       map[accountKey]*account
	activeAccounts [MaxTiers]int
	// returnRate is the share of those with a place who come back on time; none until
	// some did.
	returnRate float64
}

// New returns an empty Calendar whose random choices start from a seed.
func New(seed uint64) *Reservations {
	return &Reservations{
		random:       rand.New(rand.NewPCG(seed, 0)),
		reservations: map[Key]reservation{},
		accounts:     map[accountKey]*account{},
	}
}

// Reserve returns the delay after which a refused request should come back. A request
// that has a place ahead keeps it: coming early changes nothing.
func (r *Reservations) Reserve(now time.Time, k Key, w Work) time.Duration {
	if p, ok := r.reservations[k]; ok && k.Fingerprint != 0 && p.at.After(now) {
		return p.at.Sub(now)
	}
	if w.Rate <= 0 {
		return r.fallbackDelay()
	}
	a := k.accountKey()
	earliest := now.Add(max(w.BacklogTime, slotLength))
	fairFinish := r.fairFinish(a, earliest, w)
	last := slotNumber(now.Add(horizon))
	first, ok := r.findSlot(slotNumber(earliest), last, slotNumber(fairFinish), a.tier, w.Rate)
	if !ok {
		return r.fallbackDelay()
	}
	r.bookWork(first, last, a.tier, w)
	at := r.timeInSlot(first, earliest)
	r.recordAccount(a, fairFinish, at)
	r.storeReservation(first, k, reservation{at: at, arrived: w.Arrived})
	return at.Sub(now)
}

// Redeem returns when a request that comes back on time arrived first, and gives up
// its place. It fails for any other request.
func (r *Reservations) Redeem(now time.Time, k Key) (arrived time.Time, ok bool) {
	p, ok := r.reservations[k]
	if !ok || now.Before(p.at.Add(-earlyTolerance)) || now.After(p.at.Add(lateTolerance)) {
		return time.Time{}, false
	}
	delete(r.reservations, k)
	r.updateReturnRate(1)
	return p.arrived, true
}

// updateReturnRate notes that one of those with a place came back on time, 1, or did not, 0.
func (r *Reservations) updateReturnRate(returned float64) {
	r.returnRate += returnRateWeight * (returned - r.returnRate)
}

// NewcomerWait returns how long a newcomer waits for work to be done that takes a given
// time without those who come back. While its organisation has work booked, as many
// as came back lately go first, and leave the rest to it. speedup is how much more work
// than the own pool all do together for which work is booked.
func (r *Reservations) NewcomerWait(now time.Time, k Key, wait time.Duration, speedup float64) time.Duration {
	l := r.accounts[k.accountKey()]
	if l == nil || !l.lastReservation.After(now) {
		return wait
	}
	booked := l.lastReservation.Sub(now)
	returningShare := maxSlotFill * min(1, speedup*r.returnRate)
	if stretched := time.Duration(float64(wait) / (1 - returningShare)); stretched <= booked {
		return stretched
	}
	return wait + time.Duration(returningShare*float64(booked))
}

// slotNumber returns the slot of a time.
func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// fallbackDelay is the delay for work that can't be booked, spread so that those who are
// told don't come back at once.
func (r *Reservations) fallbackDelay() time.Duration {
	return horizon + r.Jitter(horizon)
}

// Jitter draws a time up to a bound, to spread callers who wait for the same thing.
func (r *Reservations) Jitter(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// timeInSlot draws a time in a slot, no earlier than a given one.
func (r *Reservations) timeInSlot(n int64, earliest time.Time) time.Time {
	at := time.Unix(0, n*int64(slotLength)).Add(r.Jitter(slotLength))
	if at.Before(earliest) {
		return earliest
	}
	return at
}

// fairFinish returns when an organisation's share of the pool would have done one more
// request of it.
func (r *Reservations) fairFinish(a accountKey, earliest time.Time, w Work) time.Time {
	activeAccounts := r.activeAccounts[a.tier]
	begin := earliest
	if l := r.accounts[a]; l == nil {
		activeAccounts++
	} else if l.fairFinish.After(earliest) {
		begin = l.fairFinish
	}
	seconds := w.Tokens * float64(activeAccounts) / (maxSlotFill * w.Rate)
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// findSlot returns the first slot that has room: for anyone, or from the fair one on for
// an organisation that others have left too little.
func (r *Reservations) findSlot(earliest, last, fairSlot int64, tier int, rate float64) (n int64, ok bool) {
	capacity := rate * slotLength.Seconds()
	for n = earliest; n <= last; n++ {
		booked := r.slotAt(n).cumulativeTokens[tier]
		if booked < maxSlotFill*capacity || n >= fairSlot && booked < maxUnderShareSlotFill*capacity {
			return n, true
		}
	}
	return 0, false
}

// bookWork books work from a slot on, up to the last one. What is more than a slot's share
// goes into the next ones, as the pool takes as long for it.
func (r *Reservations) bookWork(n, last int64, tier int, w Work) {
	capacity := maxSlotFill * w.Rate * slotLength.Seconds()
	for remaining := w.Tokens; remaining > 0 && n <= last; n++ {
		s := r.slotAt(n)
		booked := remaining
		if free := capacity - s.cumulativeTokens[tier]; free < remaining && remaining > capacity {
			booked = max(free, 0)
		}
		s.add(tier, booked)
		remaining -= booked
	}
}

func (s *slot) add(tier int, tokens float64) {
	for t := tier; t < MaxTiers; t++ {
		s.cumulativeTokens[t] += tokens
	}
}

// recordAccount keeps what an organisation has booked.
func (r *Reservations) recordAccount(a accountKey, fairFinish, at time.Time) {
	l := r.accounts[a]
	if l == nil {
		l = &account{}
		r.accounts[a] = l
		r.activeAccounts[a.tier]++
	}
	l.fairFinish = fairFinish
	if at.After(l.lastReservation) {
		l.lastReservation = at
	}
}

// storeReservation notes the place of a request, while there is room for it.
func (r *Reservations) storeReservation(n int64, k Key, p reservation) {
	if k.Fingerprint == 0 || len(r.reservations) >= maxReservations {
		return
	}
	s := r.slotAt(n)
	s.keys = append(s.keys, k)
	r.reservations[k] = p
}

// slotAt returns a slot that is ahead, emptied if its place in the ring was that of an
// earlier one.
func (r *Reservations) slotAt(n int64) *slot {
	s := &r.ring[n%int64(ringSlots)]
	if s.number != n {
		r.clearSlot(s)
		s.number = n
	}
	return s
}

// clearSlot forgets what was booked in a slot.
func (r *Reservations) clearSlot(s *slot) {
	for _, k := range s.keys {
		if p, ok := r.reservations[k]; ok && slotNumber(p.at) == s.number {
			delete(r.reservations, k)
			r.updateReturnRate(0)
		}
	}
	*s = slot{}
}

// Expire forgets what has passed. It is to be called about once a second.
func (r *Reservations) Expire(now time.Time) {
	passed := slotNumber(now.Add(-lateTolerance - earlyTolerance))
	for i := range r.ring {
		if s := &r.ring[i]; s.number != 0 && s.number < passed {
			r.clearSlot(s)
		}
	}
	for a, l := range r.accounts {
		if !l.lastReservation.After(now) {
			delete(r.accounts, a)
			r.activeAccounts[a.tier]--
		}
	}
}

// Len counts the places kept.
func (r *Reservations) Len() int { return len(r.reservations) }
