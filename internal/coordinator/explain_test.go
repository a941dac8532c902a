package coordinator

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// Guards against an explanation that leaves traces: messages, decisions, or counts.
func TestExplainLeavesNoTrace(t *testing.T) {
	s := newStateWithQueue(t, 3)
	deliverDigest(s, start, 1, 1_000_000)
	s.TakeOutput()
	s.TakeDecisions() // those on the digest
	before, load := s.Status(), s.pools[pool].sched.Load(start)
	entries, grants := len(s.pools[pool].entries), len(s.grants)
	a := ask("new")
	a.Tier = 2
	e, ok := s.Explain(start.Add(200*time.Millisecond), a)
	if !ok || e.Waiting == 0 || e.Waiting != s.pools[pool].sched.Waiting() || e.Ahead == 0 || e.Refusal != nil || !strings.Contains(e.Servers[0].LeftOut, "requests run") {
		t.Errorf("explained as %+v", e)
	}
	if len(e.Zones) != 1 || e.Zones[0].Zone != "lisbon-b" || e.Zones[0].DigestAgeMs != 200 {
		t.Errorf("other zones are %+v", e.Zones)
	}
	if !reflect.DeepEqual(before, s.Status()) || !reflect.DeepEqual(load, s.pools[pool].sched.Load(start)) ||
		entries != len(s.pools[pool].entries) || grants != len(s.grants) || len(s.TakeOutput())+len(s.TakeDecisions()) > 0 {
		t.Error("the explanation changed the pool")
	}
	a.Pool = message.Pool{Zone: "lisbon-b", Target: pool.Target}
	if _, ok := s.Explain(start, a); ok {
		t.Error("a pool of another coordinator is explained")
	}
}

func TestExplainTellsRefusals(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	for name, change := range map[string]func(a *message.Ask){
		"infeasible": func(a *message.Ask) { a.DeadlineMs = 1 },
		"no_server":  func(*message.Ask) { stopServers(s, start) },
	} {
		a := ask(name)
		change(a)
		e, _ := s.Explain(start, a)
		refusal := send(s, start, "e2", a).Refusal
		if e.Refusal == nil || refusal == nil || e.Refusal.Reason != name || string(refusal.Reason) != name || e.Refusal.Verdict != "not_run" {
			t.Errorf("%s: explained as %+v, refused as %+v", name, e.Refusal, refusal)
		}
		s.SetLeaving(start, nil)
		s.TakeOutput()
	}
}
