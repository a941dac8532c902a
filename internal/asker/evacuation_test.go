package asker

import (
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
)

// zonesEvacuated is a staticTopology in which the pools of some zones are closed.
type zonesEvacuated struct {
	staticTopology
	zones map[string]bool
}

func (t zonesEvacuated) Closed(pool message.Pool) bool { return t.zones[pool.Zone] }

func evacuated(pools ...message.Pool) zonesEvacuated {
	t := zonesEvacuated{staticTopology: bothZones(), zones: map[string]bool{}}
	for _, pool := range pools {
		t.zones[pool.Zone] = true
	}
	return t
}

// TestEvacuatedZoneIsNotAsked checks that a request which arrives while its zone is
// evacuated is asked for in another one, and is refused as soon as that refuses it.
func TestEvacuatedZoneIsNotAsked(t *testing.T) {
	s := newAsker(t, staticTopology{poolA: "c1", poolB: "c3"})
	s.TakeOutput()
	s.SetTopology(testNow, evacuated(poolA))
	s.Ask(testNow, grant.Request{ID: "r2", Target: "m", Arrived: testNow, Deadline: testNow.Add(time.Minute)})
	for _, o := range s.TakeOutput() {
		if ask := o.Frame.Ask; ask != nil {
			if o.To != "c3" {
				t.Errorf("request %s was asked for at %s, want c3", ask.Request, o.To)
			}
			refuse(s, "c3", ask, message.RefusalReasonDeadline)
		}
	}
	outcomes := s.TakeOutcomes()
	if len(outcomes) != 2 || outcomes[0].Err == nil || outcomes[0].Err.Code != apierror.CodeDeadline {
		t.Errorf("outcomes %v, want both requests refused for the reason of the open zone", outcomes)
	}
}

// TestWaitingRequestLeavesAnEvacuatedZone checks that a request which waits in a zone is
// withdrawn there when the zone is evacuated, also if its coordinator doesn't know that, and
// that a redirection doesn't bring it back.
func TestWaitingRequestLeavesAnEvacuatedZone(t *testing.T) {
	s := newAsker(t, bothZones())
	s.TakeOutput()
	s.SetTopology(testNow, evacuated(poolA))
	withdrawn := false
	var ask *message.Ask
	for _, o := range s.TakeOutput() {
		withdrawn = withdrawn || o.To == "c1" && o.Frame.Withdraw != nil
		if o.Frame.Ask != nil && o.To == "c3" {
			ask = o.Frame.Ask
		}
	}
	if !withdrawn || ask == nil {
		t.Fatalf("withdrawn %t, asked elsewhere %t, want both", withdrawn, ask != nil)
	}
	redirect := &message.Redirect{Request: "r", Attempt: ask.Attempt, Pool: poolB, Zone: poolA.Zone, Kept: true}
	s.Handle(testNow, "c3", &message.Frame{Redirect: redirect})
	if output := s.TakeOutput(); len(output) > 0 {
		t.Errorf("a redirection to the evacuated zone led to %v", output)
	}
	s.SetTopology(testNow, bothZones())
	s.Ask(testNow, grant.Request{ID: "r2", Target: "m", Arrived: testNow, Deadline: testNow.Add(time.Minute)})
	if to, _ := nextAsk(t, s); to != "c1" {
		t.Errorf("asked %s after the zone was taken back, want c1", to)
	}
}

// TestAllZonesEvacuatedRefusesAtOnce checks that coordinators refuse what no zone can serve,
// without a wait for other hosts.
func TestAllZonesEvacuatedRefusesAtOnce(t *testing.T) {
	s := newAsker(t, bothZones())
	s.SetTopology(testNow, evacuated(poolA, poolB))
	for _, from := range []string{"c1", "c3"} {
		_, ask := nextAsk(t, s)
		refuse(s, from, ask, message.RefusalReasonNoServer)
	}
	if outcomes := s.TakeOutcomes(); len(outcomes) != 1 || outcomes[0].Err == nil || outcomes[0].Err.Code != apierror.CodeNoServer {
		t.Errorf("outcomes %v, want a refusal for lack of servers", outcomes)
	}
}
