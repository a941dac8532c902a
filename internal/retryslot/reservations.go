// Package retryslot spreads the retries of refused requests over time, and keeps the
// queue position of requests that come back on time.
//
// It handles floods that exceed the capacity of a pool. If all refused callers got the
// same delay, they would come back at once and find their positions taken by requests
// that arrived later. Reservations divides the near future into time slots and books
// refused work into the first slots with free capacity, so that requests that come back
// on time bring no more work per second than the pool can do. An organisation under its
// share may also use slots that other organisations have filled.
//
// The package is pure: it does no I/O, reads no clock and holds no lock.
package retryslot

import (
	"math/rand/v2"
	"time"
)

// MaxTiers is the number of tier ranks that are distinguished; higher ranks count as
// the last one.
const MaxTiers = 16

const (
	// slotLength is short compared with the seconds that callers of a flooded pool
	// wait, and long enough for the work of one request.
	slotLength = 250 * time.Millisecond
	// horizon is how far ahead work is booked: callers of interactive work give up on
	// longer delays.
	horizon = 2 * time.Minute
	// earlyTolerance is how long before its reservation a request counts as on time:
	// clocks of callers and timers differ by less.
	earlyTolerance = slotLength
	// lateTolerance is how long after its reservation a request counts as on time: the
	// header Retry-After has whole seconds, and the caller needs some time itself.
	lateTolerance = 3 * time.Second
	// ringSlots covers the horizon and both tolerances, and a partial slot at either
	// end.
	ringSlots = int((horizon+lateTolerance+earlyTolerance)/slotLength) + 2
	// maxSlotFill is the share of a slot's capacity that any organisation may book; the
	// rest is headroom for requests that were never refused.
	maxSlotFill = 0.8
	// maxUnderShareSlotFill is the limit for organisations under their share. The
	// pool's order of grants divides the capacity if too many come back.
	maxUnderShareSlotFill = 1.5
	// returnWeight is the weight of one caller in the exponential moving average of
	// the return rate: about the last 20 callers determine it.
	returnWeight = 0.05
	// maxReservations limits the memory to some 2 MB; further work is booked without a
	// reservation.
	maxReservations = 8192
)

// Key identifies a request over all its attempts: the same content of the same caller.
type Key struct {
	Organisation string
	Caller       string
	// Tier is the rank; 0 is the highest.
	Tier int
	// Fingerprint identifies the content; 0 gets no reservation.
	Fingerprint uint64
}

// Work describes the work of a refused request, and the speed of the pools that book
// it.
type Work struct {
	Tokens float64
	// Arrived is the time of the request's first attempt.
	Arrived time.Time
	// BacklogTime is how long the pool needs for the work that is served before the
	// request.
	BacklogTime time.Duration
	// Rate is the combined speed of all pools that book the request, in tokens per
	// second. A request that several pools refused is booked in each of them, but
	// returns to only one.
	Rate float64
}

// reservation is the time and queue position that are kept for one refused request.
type reservation struct {
	at      time.Time
	arrived time.Time
}

// accountKey identifies an organisation in a tier.
type accountKey struct {
	organisation string
	tier         int
}

func (k Key) accountKey() accountKey {
	return accountKey{k.Organisation, min(max(k.Tier, 0), MaxTiers-1)}
}

// account holds what an organisation has booked in a tier.
type account struct {
	// fairFinish is when the organisation's fair share of the pool will have completed
	// its booked work (the virtual finish time of fair queueing).
	fairFinish time.Time
	// lastReservation is the time of its latest reservation.
	lastReservation time.Time
}

// slot holds the work booked for one interval.
type slot struct {
	// number is the start of the interval since the Unix epoch, in slot lengths.
	number int64
	// cumulativeTokens holds, for each tier, the tokens booked by that tier and all
	// higher ones.
	cumulativeTokens [MaxTiers]float64
	keys             []Key
}

// Reservations books the work of refused requests into time slots.
//
// Invariants: a key has at most one reservation. A request becomes due only in a slot
// that was filled, by its tier and all higher ones, to less than maxSlotFill of the
// slot's capacity, or less than maxUnderShareSlotFill if its organisation is under its
// share. The requests of one tier that are due in a slot therefore exceed that limit by
// less than one request.
type Reservations struct {
	random       *rand.Rand
	ring         [ringSlots]slot
	reservations map[Key]reservation
	// accounts holds the organisations with work booked ahead; activeAccounts counts
	// them by tier.
	accounts       map[accountKey]*account
	activeAccounts [MaxTiers]int
	// returnRate is the moving average of the share of reservations that are redeemed
	// on time; 0 until some were.
	returnRate float64
}

// New returns empty Reservations whose random choices are seeded by seed.
func New(seed uint64) *Reservations {
	return &Reservations{
		random:       rand.New(rand.NewPCG(seed, 0)),
		reservations: map[Key]reservation{},
		accounts:     map[accountKey]*account{},
	}
}

// Reserve returns the delay after which a refused request should come back. A request
// whose reservation is still ahead keeps it, so coming back early changes nothing.
func (r *Reservations) Reserve(now time.Time, k Key, w Work) time.Duration {
	if res, ok := r.reservations[k]; ok && k.Fingerprint != 0 && res.at.After(now) {
		return res.at.Sub(now)
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

// Redeem returns the first arrival of a request that comes back on time, and removes
// its reservation. ok is false for any other request.
func (r *Reservations) Redeem(now time.Time, k Key) (arrived time.Time, ok bool) {
	res, ok := r.reservations[k]
	if !ok || now.Before(res.at.Add(-earlyTolerance)) || now.After(res.at.Add(lateTolerance)) {
		return time.Time{}, false
	}
	delete(r.reservations, k)
	r.recordReturn(1)
	return res.arrived, true
}

// recordReturn adds one reservation to the return rate: hit is 1 if it was redeemed
// on time, 0 if not.
func (r *Reservations) recordReturn(hit float64) { r.returnRate += returnWeight * (hit - r.returnRate) }

// NewcomerWait returns the expected wait of a request without a reservation. wait is
// the time for its backlog if no refused requests returned. While its organisation has
// work booked, returning requests go first, at the recent return rate, and the newcomer
// gets the remaining capacity. speedRatio is the ratio of the speed of all pools that
// book the work to the speed of this pool.
func (r *Reservations) NewcomerWait(now time.Time, k Key, wait time.Duration, speedRatio float64) time.Duration {
	acc := r.accounts[k.accountKey()]
	if acc == nil || !acc.lastReservation.After(now) {
		return wait
	}
	booked := acc.lastReservation.Sub(now)
	returningShare := maxSlotFill * min(1, speedRatio*r.returnRate)
	if slowed := time.Duration(float64(wait) / (1 - returningShare)); slowed <= booked {
		return slowed
	}
	return wait + time.Duration(returningShare*float64(booked))
}

// slotNumber returns the number of the slot that contains t.
func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// fallbackDelay returns the delay for work that can't be booked, with jitter so that
// its callers don't come back at once.
func (r *Reservations) fallbackDelay() time.Duration {
	return horizon + r.Jitter(horizon)
}

// Jitter returns a random duration below limit, to spread callers that wait for the
// same event.
func (r *Reservations) Jitter(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// timeInSlot returns a random time in slot n, or earliest if that is later.
func (r *Reservations) timeInSlot(n int64, earliest time.Time) time.Time {
	at := time.Unix(0, n*int64(slotLength)).Add(r.Jitter(slotLength))
	if at.Before(earliest) {
		return earliest
	}
	return at
}

// fairFinish returns when the organisation's fair share of the pool would have
// completed one more of its requests.
func (r *Reservations) fairFinish(a accountKey, earliest time.Time, w Work) time.Time {
	activeAccounts := r.activeAccounts[a.tier]
	begin := earliest
	if acc := r.accounts[a]; acc == nil {
		activeAccounts++
	} else if acc.fairFinish.After(earliest) {
		begin = acc.fairFinish
	}
	seconds := w.Tokens * float64(activeAccounts) / (maxSlotFill * w.Rate)
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// findSlot returns the first slot between earliest and last that is filled to less than
// maxSlotFill. From fairSlot on, where the organisation's fair share would have
// completed the request, maxUnderShareSlotFill applies.
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

// bookWork books work from slot n up to slot last. A request larger than a slot's
// capacity continues in the next slots, because the pool takes as long for it.
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

// recordAccount stores what an organisation has booked.
func (r *Reservations) recordAccount(a accountKey, fairFinish, at time.Time) {
	acc := r.accounts[a]
	if acc == nil {
		acc = &account{}
		r.accounts[a] = acc
		r.activeAccounts[a.tier]++
	}
	acc.fairFinish = fairFinish
	if at.After(acc.lastReservation) {
		acc.lastReservation = at
	}
}

// storeReservation stores the reservation of a request, up to maxReservations.
func (r *Reservations) storeReservation(n int64, k Key, res reservation) {
	if k.Fingerprint == 0 || len(r.reservations) >= maxReservations {
		return
	}
	s := r.slotAt(n)
	s.keys = append(s.keys, k)
	r.reservations[k] = res
}

// slotAt returns slot n, which is cleared first if its ring position still holds an
// earlier slot.
func (r *Reservations) slotAt(n int64) *slot {
	s := &r.ring[n%int64(ringSlots)]
	if s.number != n {
		r.clearSlot(s)
		s.number = n
	}
	return s
}

// clearSlot removes the booked work of a slot and its reservations that were not
// redeemed.
func (r *Reservations) clearSlot(s *slot) {
	for _, k := range s.keys {
		if res, ok := r.reservations[k]; ok && slotNumber(res.at) == s.number {
			delete(r.reservations, k)
			r.recordReturn(0)
		}
	}
	*s = slot{}
}

// Expire removes the slots and reservations that can no longer be redeemed, and the
// accounts without reservations ahead. It should be called about once a second.
func (r *Reservations) Expire(now time.Time) {
	passed := slotNumber(now.Add(-lateTolerance - earlyTolerance))
	for i := range r.ring {
		if s := &r.ring[i]; s.number != 0 && s.number < passed {
			r.clearSlot(s)
		}
	}
	for a, acc := range r.accounts {
		if !acc.lastReservation.After(now) {
			delete(r.accounts, a)
			r.activeAccounts[a.tier]--
		}
	}
}

// Len returns the number of reservations.
func (r *Reservations) Len() int { return len(r.reservations) }
