package coordinator

import (
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
)

func evacuatedZones(zones ...string) map[string]bool {
	set := map[string]bool{}
	for _, zone := range zones {
		set[zone] = true
	}
	return set
}

// freeDigest returns a digest of a pool in another zone with free servers.
func freeDigest(host, zone string, sequence int) *message.Frame {
	return &message.Frame{Digest: &message.Digest{
		Host: host, Incarnation: 1, Sequence: sequence, Pool: message.Pool{Zone: zone, Target: pool.Target},
		FreeTokens: 1_000_000, Servers: 4, TokensPerSecond: 10_000,
	}}
}

// TestEvacuationEmptiesTheQueue replays an evacuation while a queue of two tiers waits: all
// are refused within the same call, the urgent ones first, instead of a few in each check.
func TestEvacuationEmptiesTheQueue(t *testing.T) {
	s := newStateWithQueue(t, 40)
	s.TakeOutput()
	running, waiting := s.Status()[0], s.order[0].sched.Waiting()
	s.SetEvacuated(start, evacuatedZones("lisbon-a"))
	var tiers []int
	for _, d := range s.TakeDecisions() {
		if d.Kind == DecisionRefuse {
			tiers = append(tiers, d.Tier)
		}
	}
	if len(tiers) != waiting || waiting < 2*maxMovesPerCheck || !slices.IsSorted(tiers) {
		t.Errorf("tiers of the refused requests: %v, want all %d, the higher tiers first", tiers, waiting)
	}
	for _, o := range s.TakeOutput() {
		if r := o.Frame.Refusal; r != nil && r.Reason != message.RefusalReasonNoServer {
			t.Errorf("refused for %s, want no_server", r.Reason)
		}
		if o.Frame.Revoke != nil {
			t.Error("a running request was revoked")
		}
	}
	if before, after := running.Servers[0].Requests, s.Status()[0].Servers[0]; after.Requests != before || after.State != "evacuated" {
		t.Errorf("server %+v, want %d requests that run on, and the state evacuated", after, before)
	}
	if answer := send(s, start, "e2", ask("late")); answer.Refusal == nil || answer.Refusal.Reason != message.RefusalReasonNoServer {
		t.Errorf("a later ask got %+v, want a refusal", answer)
	}
	s.SetEvacuated(start, nil)
	if send(s, start, "e2", ask("again")); s.Status()[0].Servers[0].State != "healthy" || !s.order[0].sched.IsWaiting("again") {
		t.Error("the pool takes no requests after its zone was taken back")
	}
}

// TestNothingIsRedirectedToAnEvacuatedZone checks that neither new nor waiting requests are
// sent to a zone whose last digest says that it is free.
func TestNothingIsRedirectedToAnEvacuatedZone(t *testing.T) {
	s := newStateWithQueue(t, 40)
	s.SetEvacuated(start, evacuatedZones("lisbon-b"))
	s.Handle(start, "e9", freeDigest("e9", "lisbon-b", 1))
	now := start.Add(time.Second)
	s.Tick(now)
	if answer := send(s, now, "e2", ask("new")); answer.Redirect != nil {
		t.Errorf("a new request is redirected to zone %s", answer.Redirect.Zone)
	}
	for _, d := range s.TakeDecisions() {
		if d.Kind == DecisionRedirect {
			t.Errorf("request %s is redirected to zone %s", d.Request, d.Zone)
		}
	}
	s.SetEvacuated(now, nil)
	if answer := send(s, now, "e2", ask("newer")); answer.Redirect == nil {
		t.Errorf("got %+v after the zone was taken back, want a redirection", answer)
	}
}

// TestRequestOfAnUnawareFrontIsRedirected checks that a front which hasn't heard of the
// evacuation is sent to an open zone by the first answer.
func TestRequestOfAnUnawareFrontIsRedirected(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	s.SetSiblings(start, map[message.Pool][]string{pool: {"e8", "e9"}})
	s.Handle(start, "e8", freeDigest("e8", "lisbon-b", 1))
	s.Handle(start, "e9", freeDigest("e9", "lisbon-c", 1))
	s.SetEvacuated(start, evacuatedZones("lisbon-a", "lisbon-b"))
	if answer := send(s, start, "e2", ask("r")); answer.Redirect == nil || answer.Redirect.Zone != "lisbon-c" {
		t.Errorf("got %+v, want a redirection to lisbon-c", answer)
	}
}
