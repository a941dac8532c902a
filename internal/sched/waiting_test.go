package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

// TestEachWaitingVisitsInTheOrderOfGrants compares the visited order with the grants of a
// server that runs one request at a time.
func TestEachWaitingVisitsInTheOrderOfGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool(1, 4000)
		p.servers[0].MaxRequests = 1
		p.Add(start, request("r00", 0, 100, time.Hour))
		var visited, granted []string
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := request(fmt.Sprintf("r%02d", i+1), rapid.IntRange(0, 2).Draw(t, "tier"), 100, time.Hour)
			r.Organisation = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
			r.Caller = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
			r.Arrived = start.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "waited")) * time.Second)
			p.Add(start, r)
		}
		wait := time.Duration(0)
		p.EachWaiting(func(w WaitingRequest) bool {
			if w.Wait <= wait {
				t.Fatalf("%s waits %s, not more than the one before", w.ID, w.Wait)
			}
			visited, wait = append(visited, w.ID), w.Wait
			return true
		})
		holder, _, _ := p.GrantOf("r00")
		for range visited {
			p.TakeActions()
			p.Release(start, holder, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 100})
			grant := p.TakeActions()[0]
			granted, holder = append(granted, grant.Request.ID), grant.Grant
		}
		if !slices.Equal(visited, granted) {
			t.Fatalf("visited %v, but granted %v", visited, granted)
		}
	})
}

// TestRequestsOfACallerGoByArrival checks that an ask that arrives late keeps its queue
// position by arrival: after a move from another pool, renewed by its front, or repeated
// for a new coordinator.
func TestRequestsOfACallerGoByArrival(t *testing.T) {
	p := newTestPool(1, 4000)
	p.servers[0].MaxRequests = 1
	p.Add(start, request("r0", 0, 100, time.Hour))
	holder := expectActions(t, p, "grant r0")[0].Grant
	for i, waited := range []time.Duration{2, 1, 3} {
		r := request(fmt.Sprint("r", i+1), 0, 100, time.Hour)
		r.Arrived = start.Add(-waited * time.Second)
		p.Add(start, r)
	}
	for _, want := range []string{"r3", "r1", "r2"} {
		p.Release(start, holder, Result{Outcome: message.ReleaseOutcomeFinished})
		holder = expectActions(t, p, "grant "+want)[0].Grant
	}
}
