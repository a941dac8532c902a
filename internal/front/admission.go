package front

import (
	"sync"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// maxEndingShare of the bounds may be held beyond them for requests whose pools were
// told to grant or refuse them at once.
const maxEndingShare = 0.25

// admission bounds the requests that wait on a front and the bytes of their
// bodies. An arrival that finds no room displaces waiting requests in the order
// of shedding: from the lowest tier up, and within a tier from the organisation
// that holds the most, the newest first. The arrival itself takes part in that
// order. It is safe for concurrent use.
//
// A front doesn't know what runs below a request in its pools. So the wait of a
// victim above the lowest tier is ended by its pools, which grant it in the place
// of lower running work or refuse it. Until then it is held beyond the bounds, up
// to a share of them; victims beyond that are displaced at once.
type admission struct {
	mu          sync.Mutex
	maxBytes    int
	maxRequests int
	sequence    int
	waiting     map[*request]*waitEntry
	// queued are the requests within the bounds, ending those beyond them.
	queued, ending usage
}

// usage sums what some requests hold.
type usage struct{ requests, bytes int }

func (h *usage) add(requests, bytes int) {
	h.requests += requests
	h.bytes += bytes
}

// waitEntry is what one waiting request holds.
type waitEntry struct {
	rank         int
	organisation string
	bytes        int
	sequence     int
	// ending requests are held until their pools have granted or refused them.
	ending bool
}

func newAdmission(maxBytes, maxRequests int) *admission {
	return &admission{maxBytes: maxBytes, maxRequests: maxRequests, waiting: map[*request]*waitEntry{}}
}

// usageOf returns the sum that a holding counts in.
func (a *admission) usageOf(h *waitEntry) *usage {
	if h.ending {
		return &a.ending
	}
	return &a.queued
}

// reserve admits a request with a body of some bytes, or refuses it. Displaced
// requests are cancelled.
func (a *admission) reserve(q *request, bytes int) *apierror.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	a.waiting[q] = &waitEntry{rank: q.tier.Rank, organisation: q.caller.Organisation, bytes: bytes, sequence: a.sequence}
	a.queued.add(1, bytes)
	for a.queued.bytes > a.maxBytes || a.queued.requests > a.maxRequests {
		victim := a.victim()
		if a.endWait(victim) {
			continue
		}
		a.drop(victim)
		if victim == q {
			return apierror.New(apierror.CodeQueueFull, verdict.NotRun, "the entry host holds all the requests that it can").WithRetry(jitteredRetryDelay())
		}
		victim.cancel(errDisplaced)
	}
	return nil
}

// endWait has a victim granted or refused by its pools. It fails if no tier is
// below the victim's, or too much is held already.
func (a *admission) endWait(victim *request) bool {
	h := a.waiting[victim]
	overLimit := a.ending.requests >= max(1, int(maxEndingShare*float64(a.maxRequests))) ||
		a.ending.bytes+h.bytes > int(maxEndingShare*float64(a.maxBytes))
	if victim.endWait == nil || overLimit {
		return false
	}
	a.queued.add(-1, -h.bytes)
	h.ending = true
	a.ending.add(1, h.bytes)
	close(victim.endWait)
	return true
}

// resize sets the bytes of a request that were reserved as an upper bound.
func (a *admission) resize(q *request, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h, ok := a.waiting[q]; ok {
		a.usageOf(h).add(0, bytes-h.bytes)
		h.bytes = bytes
	}
}

// release ends the waiting of a request and reports whether it still waited:
// false means that it was displaced.
func (a *admission) release(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.waiting[q]
	if ok {
		a.drop(q)
	}
	return ok
}

func (a *admission) drop(q *request) {
	h := a.waiting[q]
	a.usageOf(h).add(-1, -h.bytes)
	delete(a.waiting, q)
}

// victim returns the queued request that goes first.
func (a *admission) victim() *request {
	lowest := a.lowestRank()
	heldBytes := map[string]int{}
	for _, h := range a.waiting {
		if h.rank == lowest && !h.ending {
			heldBytes[h.organisation] += h.bytes + 1
		}
	}
	var victim *request
	for q, h := range a.waiting {
		if h.rank == lowest && !h.ending && (victim == nil || shedBefore(h, a.waiting[victim], heldBytes)) {
			victim = q
		}
	}
	return victim
}

func (a *admission) lowestRank() int {
	lowest := 0
	for _, h := range a.waiting {
		if !h.ending {
			lowest = max(lowest, h.rank)
		}
	}
	return lowest
}

// shedBefore orders two holdings of one tier: those of the organisation that
// holds more go first, then the newest.
func shedBefore(a, b *waitEntry, heldBytes map[string]int) bool {
	if heldBytes[a.organisation] != heldBytes[b.organisation] {
		return heldBytes[a.organisation] > heldBytes[b.organisation]
	}
	if a.organisation != b.organisation {
		return a.organisation < b.organisation
	}
	return a.sequence > b.sequence
}
