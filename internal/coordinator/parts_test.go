package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

const (
	sharedPart, deadlyPart uint64 = 11, 12
)

// askWithParts returns an ask for a request of its own content. Its prompt has the given
// parts and one of its own.
func askWithParts(number int, parts ...uint64) *message.Ask {
	a := ask(fmt.Sprint("r", number))
	a.Fingerprint = uint64(1_000_000 + number)
	a.Parts = append(append([]uint64{}, parts...), uint64(2_000_000+number))
	return a
}

// TestPromptPartThatCrashesServersIsRefusedEverywhere guards against requests that share
// nothing but a part of their prompts and crash server after server, at any host. The
// coordinator of another zone must refuse them too, and no sound request that shares
// their first part may be refused.
func TestPromptPartThatCrashesServersIsRefusedEverywhere(t *testing.T) {
	s, sibling := newState(t, "e1", "lisbon-a"), newState(t, "p1", "lisbon-b")
	s.Handle(start, "p1", &message.Frame{Heartbeat: &message.Heartbeat{Host: "p1"}})
	now, crashes := start, 0
	var held []string
	for number := range 40 {
		now = now.Add(200 * time.Millisecond)
		s.Tick(now)
		parts := []uint64{sharedPart}
		isDeadly := number%4 == 0
		if isDeadly {
			parts = append(parts, deadlyPart)
		}
		a := askWithParts(number, parts...)
		f := send(s, now, "e2", a)
		switch {
		case f.Refusal != nil && f.Refusal.Reason == message.RefusalReasonPoison:
			if !isDeadly {
				t.Fatalf("sound request %s was refused", a.Request)
			}
		case f.Grant == nil:
			held = append(held, a.Request)
		case isDeadly:
			crashes++
			deliver(t, sibling, now, release(s, now.Add(100*time.Millisecond), "e2", f.Grant, message.ReleaseOutcomeServerCrashed))
		default:
			release(s, now.Add(100*time.Millisecond), "e2", f.Grant, message.ReleaseOutcomeFinished)
		}
	}
	if crashes != 3 || len(held) > 0 {
		t.Errorf("%d servers crashed, and %v got no answer; want 3 and none", crashes, held)
	}
	a := askWithParts(100, sharedPart, deadlyPart)
	a.Pool.Zone = "lisbon-b"
	if f := send(sibling, now, "p2", a); f.Refusal == nil || f.Refusal.Reason != message.RefusalReasonPoison {
		t.Errorf("the other zone's coordinator answered %+v, want a refusal", f)
	}
	sound := askWithParts(101, sharedPart)
	sound.Pool.Zone = "lisbon-b"
	if f := send(sibling, now, "p2", sound); f.Grant == nil {
		t.Errorf("the other zone's coordinator answered a sound request with %+v, want a grant", f)
	}
}

// deliver passes the quarantines among the output of a coordinator to another one.
func deliver(t *testing.T, to *State, now time.Time, out []Output) {
	t.Helper()
	for _, o := range out {
		if o.To == to.config.Host && o.Frame.Quarantines != nil {
			to.Handle(now, "e1", &o.Frame)
		}
	}
}

// TestAnswerBesideACrashKeepsItsParts checks that the parts of requests that have output
// when their server crashes are not suspected, and that a request proves its parts while
// its answer goes on.
func TestAnswerBesideACrashKeepsItsParts(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	var grants []*message.Grant
	for number := range 40 {
		grants = append(grants, send(s, start, "e2", askWithParts(number, uint64(100+number))).Grant)
	}
	deadly := send(s, start, "e2", askWithParts(50, deadlyPart)).Grant
	now := start
	for range 3 {
		now = now.Add(200 * time.Millisecond)
		for _, g := range grants {
			s.Handle(now, "e2", &message.Frame{Progress: &message.Progress{Entries: []message.ProgressEntry{{Grant: g.Grant, Pool: pool, OutputTokens: 5}}}})
		}
	}
	release(s, now, "e2", deadly, message.ReleaseOutcomeServerCrashed)
	for number := range 40 {
		if suspected := s.parts.Suspected(now, []uint64{uint64(100 + number)}); len(suspected) > 0 {
			t.Errorf("part %d of an answer that had begun is suspected", 100+number)
		}
	}
	if len(s.parts.Suspected(now, []uint64{deadlyPart})) == 0 {
		t.Error("the part of the request without output is not suspected")
	}
}
