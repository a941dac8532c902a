package front

import (
	"sync"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// maxEndingShare limits the ending requests, as a share of each bound of admission.
const maxEndingShare = 0.25

// admission bounds the number of requests that wait on a front, and the bytes of the bodies
// of those that wait or run. When a bound is exceeded, it displaces waiting requests in
// shed order: the lowest tier first, within a tier the organisation that holds the most
// bytes, and within an organisation the newest request. The arriving request is a candidate
// like any other. admission is safe for concurrent use.
//
// The front has no record of lower-tier work that runs in the pools and could be
// revoked. A victim above the lowest tier is therefore not displaced: its wait is ended, and its
// pools either grant it at once, in place of lower running work, or refuse it. Until
// they have decided, it is counted as ending, in addition to the bounds. Ending
// requests are limited to maxEndingShare of the bounds, and so is what all requests hold
// beyond the bound of bytes; victims beyond these limits are displaced at once.
type admission struct {
	mu          sync.Mutex
	maxBytes    int
	maxRequests int
	sequence    int
	waiting     map[*request]*waitEntry
	// queued sums the requests within the bounds, ending those beyond them.
	queued, ending usage
	// running holds the bytes of the bodies of requests that were dispatched, which are
	// kept until the end of the request; runningBytes is their sum.
	running      map[*request]int
	runningBytes int
}

// usage is the number of requests and the total bytes of their bodies.
type usage struct{ requests, bytes int }

func (u *usage) add(requests, bytes int) {
	u.requests += requests
	u.bytes += bytes
}

// waitEntry describes one waiting request.
type waitEntry struct {
	rank         int
	organisation string
	bytes        int
	sequence     int
	// ending is set once the wait was ended. The request then stays until its pools
	// have granted or refused it.
	ending bool
}

func newAdmission(maxBytes, maxRequests int) *admission {
	return &admission{maxBytes: maxBytes, maxRequests: maxRequests, waiting: map[*request]*waitEntry{}, running: map[*request]int{}}
}

// usageOf returns the sum that an entry counts towards.
func (a *admission) usageOf(entry *waitEntry) *usage {
	if entry.ending {
		return &a.ending
	}
	return &a.queued
}

// reserve admits a request with a body of the given size in bytes, or refuses it. It
// cancels the requests that are displaced.
func (a *admission) reserve(q *request, bytes int) *apierror.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	a.waiting[q] = &waitEntry{rank: q.tier.Rank, organisation: q.caller.Organisation, bytes: bytes, sequence: a.sequence}
	a.queued.add(1, bytes)
	for a.exceeded() {
		victim := a.victim()
		if victim == nil {
			break // only requests that run or are ending are left
		}
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

// exceeded reports whether a bound is exceeded.
func (a *admission) exceeded() bool {
	return a.queued.bytes+a.runningBytes > a.maxBytes || a.queued.requests > a.maxRequests
}

// endWait makes the pools of a victim grant or refuse it at once. It returns false if
// the victim is of the lowest tier, or if the limit of ending requests is reached.
func (a *admission) endWait(victim *request) bool {
	entry := a.waiting[victim]
	overLimit := a.ending.requests >= max(1, int(maxEndingShare*float64(a.maxRequests))) ||
		a.ending.bytes+entry.bytes > int(maxEndingShare*float64(a.maxBytes)) ||
		a.queued.bytes+a.ending.bytes+a.runningBytes > int((1+maxEndingShare)*float64(a.maxBytes))
	if victim.endWait == nil || overLimit {
		return false
	}
	a.queued.add(-1, -entry.bytes)
	entry.ending = true
	a.ending.add(1, entry.bytes)
	close(victim.endWait)
	return true
}

// resize replaces the reserved upper bound of a request by the actual number of bytes.
func (a *admission) resize(q *request, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.waiting[q]; ok {
		a.usageOf(entry).add(0, bytes-entry.bytes)
		entry.bytes = bytes
	}
}

// start makes a waiting request a running one. It returns false if the request was not
// waiting, for example because it was displaced.
func (a *admission) start(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.waiting[q]
	if !ok {
		return false
	}
	a.drop(q)
	a.running[q] = entry.bytes
	a.runningBytes += entry.bytes
	return true
}

// withdraw removes a request from the waiting ones. It returns false if the request was
// not waiting.
func (a *admission) withdraw(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.waiting[q]
	if ok {
		a.drop(q)
	}
	return ok
}

// release frees what a request holds, whether it waits or runs.
func (a *admission) release(q *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.waiting[q]; ok {
		a.drop(q)
	}
	a.runningBytes -= a.running[q]
	delete(a.running, q)
}

func (a *admission) drop(q *request) {
	entry := a.waiting[q]
	a.usageOf(entry).add(-1, -entry.bytes)
	delete(a.waiting, q)
}

// victim returns the queued request that is displaced first.
func (a *admission) victim() *request {
	lowest := a.lowestRank()
	heldBytes := map[string]int{}
	for _, entry := range a.waiting {
		if entry.rank == lowest && !entry.ending {
			heldBytes[entry.organisation] += entry.bytes + 1
		}
	}
	var victim *request
	for q, entry := range a.waiting {
		if entry.rank == lowest && !entry.ending && (victim == nil || shedBefore(entry, a.waiting[victim], heldBytes)) {
			victim = q
		}
	}
	return victim
}

// lowestRank returns the rank of the lowest tier that has a queued request. A higher
// rank is a lower tier.
func (a *admission) lowestRank() int {
	lowest := 0
	for _, entry := range a.waiting {
		if !entry.ending {
			lowest = max(lowest, entry.rank)
		}
	}
	return lowest
}

// shedBefore orders two entries of one tier: the organisation that holds more comes
// first, then the newest request.
func shedBefore(a, b *waitEntry, heldBytes map[string]int) bool {
	if heldBytes[a.organisation] != heldBytes[b.organisation] {
		return heldBytes[a.organisation] > heldBytes[b.organisation]
	}
	if a.organisation != b.organisation {
		return a.organisation < b.organisation
	}
	return a.sequence > b.sequence
}
