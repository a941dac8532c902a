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
	// slotTime is the length of a slot: short against the seconds that a flooded
	// pool makes callers wait, long enough for the work of one request.
	slotTime = 250 * time.Millisecond
	// horizon is how far ahead work is booked: callers of interactive work have given
	// up on longer delays.
	horizon = 2 * time.Minute
	// earlyTolerance before its time a request counts as on time: clocks of callers
	// and timers differ by less.
	earlyTolerance = slotTime
	// lateTolerance after its time a request counts as on time: the header
	// Retry-After has whole seconds, and the caller needs some time itself.
	lateTolerance = 3 * time.Second
	// slots cover all for which places are kept, and the two cut ones at the ends.
	slots = int((horizon+lateTolerance+earlyTolerance)/slotTime) + 2
	// filledShare of a slot is booked for whoever comes first; the rest is for
	// requests that were never refused.
	filledShare = 0.8
	// crowdedShare of a slot is booked at most, with those whose organisations have
	// less than their share. The pool's order of grants divides what is too much.
	crowdedShare = 1.5
	// returningWeight is that of one caller in the moving average of those who come
	// back: some twenty tell.
	returningWeight = 0.05
	// maxPlaces bounds the places kept, some 2 MB; further work is booked without
	// one.
	maxPlaces = 8192
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
	// Wait is the time until the pool has done what goes before the request.
	Wait time.Duration
	// Rate is the work that all pools which book the request do, in tokens a second: a
	// request that was refused everywhere is booked in each, and comes back to one.
	Rate float64
}

// place is kept for one request.
type place struct {
	at      time.Time
	arrived time.Time
}

// account is an organisation in a tier.
type account struct {
	organisation string
	tier         int
}

func (k Key) account() account {
	return account{k.Organisation, min(max(k.Tier, 0), MaxTiers-1)}
}

// ledger is what an organisation has booked in a tier.
type ledger struct {
	// fair is when its share of the pool will have done what it has booked.
	fair time.Time
	// last is its last slot's time.
	last time.Time
}

// slot is the work booked for one interval.
type slot struct {
	// number is the start of the interval since the Unix epoch, in slots.
	number int64
	// through sums, by tier, the tokens of the tier and the higher ones.
	through [MaxTiers]float64
	keys    []Key
}

// Calendar books refused work.
//
// Invariants: when work is booked into a slot, that of its tier and the higher ones
// there is within filledShare of what the pool does in the slot's time, or within
// crowdedShare if its organisation is behind its share, so the requests told to come
// in a slot bring at most that and one request; a key has one place at most.
type Calendar struct {
	random *rand.Rand
	ring   [slots]slot
	places map[Key]place
	// ledgers are those of the organisations with work booked ahead, which are
	// counted by tier.
	ledgers map[account]*ledger
	sharers [MaxTiers]int
	// returning is the share of those with a place who come back on time; none until
	// some did.
	returning float64
}

// New returns an empty Calendar whose random choices start from a seed.
func New(seed uint64) *Calendar {
	return &Calendar{
		random:  rand.New(rand.NewPCG(seed, 0)),
		places:  map[Key]place{},
		ledgers: map[account]*ledger{},
	}
}

// Book returns the delay after which a refused request should come back. A request
// that has a place ahead keeps it: coming early changes nothing.
func (c *Calendar) Book(now time.Time, k Key, w Work) time.Duration {
	if p, ok := c.places[k]; ok && k.Fingerprint != 0 && p.at.After(now) {
		return p.at.Sub(now)
	}
	if w.Rate <= 0 {
		return c.beyond()
	}
	a := k.account()
	earliest := now.Add(max(w.Wait, slotTime))
	fair := c.fairEnd(a, earliest, w)
	last := number(now.Add(horizon))
	first, ok := c.find(number(earliest), last, number(fair), a.tier, w.Rate)
	if !ok {
		return c.beyond()
	}
	c.fill(first, last, a.tier, w)
	at := c.within(first, earliest)
	c.note(a, fair, at)
	c.keep(first, k, place{at: at, arrived: w.Arrived})
	return at.Sub(now)
}

// Redeem returns when a request that comes back on time arrived first, and gives up
// its place. It fails for any other request.
func (c *Calendar) Redeem(now time.Time, k Key) (arrived time.Time, ok bool) {
	p, ok := c.places[k]
	if !ok || now.Before(p.at.Add(-earlyTolerance)) || now.After(p.at.Add(lateTolerance)) {
		return time.Time{}, false
	}
	delete(c.places, k)
	c.learn(1)
	return p.arrived, true
}

// learn notes that one of those with a place came back on time, 1, or did not, 0.
func (c *Calendar) learn(came float64) { c.returning += returningWeight * (came - c.returning) }

// Stretch returns how long a newcomer waits for work to be done that takes a given
// time without those who come back. While its organisation has work booked, as many
// as came back lately go first, and leave the rest to it. speedup is how much more work
// than the own pool all do together for which work is booked.
func (c *Calendar) Stretch(now time.Time, k Key, wait time.Duration, speedup float64) time.Duration {
	l := c.ledgers[k.account()]
	if l == nil || !l.last.After(now) {
		return wait
	}
	booked := l.last.Sub(now)
	first := filledShare * min(1, speedup*c.returning)
	if stretched := time.Duration(float64(wait) / (1 - first)); stretched <= booked {
		return stretched
	}
	return wait + time.Duration(first*float64(booked))
}

// number returns the slot of a time.
func number(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

// beyond is the delay for work that can't be booked, spread so that those who are
// told don't come back at once.
func (c *Calendar) beyond() time.Duration {
	return horizon + c.Jitter(horizon)
}

// Jitter draws a time up to a bound, to spread callers who wait for the same thing.
func (c *Calendar) Jitter(most time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(most)))
}

// within draws a time in a slot, no earlier than a given one.
func (c *Calendar) within(n int64, earliest time.Time) time.Time {
	at := time.Unix(0, n*int64(slotTime)).Add(c.Jitter(slotTime))
	if at.Before(earliest) {
		return earliest
	}
	return at
}

// fairEnd returns when an organisation's share of the pool would have done one more
// request of it.
func (c *Calendar) fairEnd(a account, earliest time.Time, w Work) time.Time {
	sharers := c.sharers[a.tier]
	begin := earliest
	if l := c.ledgers[a]; l == nil {
		sharers++
	} else if l.fair.After(earliest) {
		begin = l.fair
	}
	own := w.Tokens * float64(sharers) / (filledShare * w.Rate)
	return begin.Add(time.Duration(own * float64(time.Second)))
}

// find returns the first slot that has room: for anyone, or from the fair one on for
// an organisation that others have left too little.
func (c *Calendar) find(earliest, last, fair int64, tier int, rate float64) (n int64, ok bool) {
	capacity := rate * slotTime.Seconds()
	for n = earliest; n <= last; n++ {
		booked := c.at(n).through[tier]
		if booked < filledShare*capacity || n >= fair && booked < crowdedShare*capacity {
			return n, true
		}
	}
	return 0, false
}

// fill books work from a slot on, up to the last one. What is more than a slot's share
// goes into the next ones, as the pool takes as long for it.
func (c *Calendar) fill(n, last int64, tier int, w Work) {
	share := filledShare * w.Rate * slotTime.Seconds()
	for left := w.Tokens; left > 0 && n <= last; n++ {
		s := c.at(n)
		part := left
		if room := share - s.through[tier]; room < left && left > share {
			part = max(room, 0)
		}
		s.add(tier, part)
		left -= part
	}
}

func (s *slot) add(tier int, tokens float64) {
	for t := tier; t < MaxTiers; t++ {
		s.through[t] += tokens
	}
}

// note keeps what an organisation has booked.
func (c *Calendar) note(a account, fair, at time.Time) {
	l := c.ledgers[a]
	if l == nil {
		l = &ledger{}
		c.ledgers[a] = l
		c.sharers[a.tier]++
	}
	l.fair = fair
	if at.After(l.last) {
		l.last = at
	}
}

// keep notes the place of a request, while there is room for it.
func (c *Calendar) keep(n int64, k Key, p place) {
	if k.Fingerprint == 0 || len(c.places) >= maxPlaces {
		return
	}
	s := c.at(n)
	s.keys = append(s.keys, k)
	c.places[k] = p
}

// at returns a slot that is ahead, emptied if its place in the ring was that of an
// earlier one.
func (c *Calendar) at(n int64) *slot {
	s := &c.ring[n%int64(slots)]
	if s.number != n {
		c.empty(s)
		s.number = n
	}
	return s
}

// empty forgets what was booked in a slot.
func (c *Calendar) empty(s *slot) {
	for _, k := range s.keys {
		if p, ok := c.places[k]; ok && number(p.at) == s.number {
			delete(c.places, k)
			c.learn(0)
		}
	}
	*s = slot{}
}

// Advance forgets what has passed. It is to be called about once a second.
func (c *Calendar) Advance(now time.Time) {
	passed := number(now.Add(-lateTolerance - earlyTolerance))
	for i := range c.ring {
		if s := &c.ring[i]; s.number != 0 && s.number < passed {
			c.empty(s)
		}
	}
	for a, l := range c.ledgers {
		if !l.last.After(now) {
			delete(c.ledgers, a)
			c.sharers[a.tier]--
		}
	}
}

// Kept counts the places kept.
func (c *Calendar) Kept() int { return len(c.places) }
