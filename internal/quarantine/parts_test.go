package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
)

const (
	shared, deadly, other uint64 = 11, 12, 13
)

func newParts() *quarantine.Parts {
	return quarantine.NewParts(quarantine.Config{Capacity: 64, SuspectTTL: time.Minute, QuarantineTTL: 5 * time.Minute})
}

// crash records a crash at a second under one request with the given parts, granted half
// a second before.
func crash(p *quarantine.Parts, second int, parts ...uint64) {
	at := start.Add(time.Duration(second) * time.Second)
	p.RecordCrash(at, fmt.Sprint("s", second), []quarantine.CrashedRequest{{Parts: parts, GrantedAt: at.Add(-500 * time.Millisecond)}})
}

func expectState(t *testing.T, p *quarantine.Parts, want quarantine.State, parts ...uint64) {
	t.Helper()
	if got := p.State(start.Add(10*time.Second), parts); got != want {
		t.Errorf("state of a request with the parts %v: %v, want %v", parts, got, want)
	}
}

// TestPartThatCrashesServersIsConvicted guards against requests that have nothing in
// common but one part of their prompts and crash server after server.
func TestPartThatCrashesServersIsConvicted(t *testing.T) {
	p := newParts()
	p.RecordAnswer(start, []uint64{shared, 90})
	crash(p, 1, shared, deadly)
	expectState(t, p, quarantine.Suspect, shared, deadly)
	expectState(t, p, quarantine.Clear, shared)
	crash(p, 2, other, deadly)
	expectState(t, p, quarantine.Suspect, deadly)
	crash(p, 3, deadly)
	for _, parts := range [][]uint64{{deadly}, {shared, deadly}, {other, deadly}, {99, deadly}} {
		expectState(t, p, quarantine.Quarantined, parts...)
	}
	expectState(t, p, quarantine.Clear, shared)
	expectState(t, p, quarantine.Suspect, other)
	if got := p.Convicted(start.Add(10 * time.Second)); !slices.Equal(got, []string{"c"}) {
		t.Errorf("convicted parts %v, want only c", got)
	}
}

// TestSoundRequestsWithACompanionPartAreNotRefused guards against the refusal of sound
// requests that share a part with the requests at fault: until one of them is answered,
// that part can't be told from the one at fault.
func TestSoundRequestsWithACompanionPartAreNotRefused(t *testing.T) {
	p := newParts()
	for second := 1; second <= 3; second++ {
		crash(p, second, shared, deadly)
	}
	expectState(t, p, quarantine.Quarantined, shared, deadly)
	expectState(t, p, quarantine.Suspect, shared)
	expectState(t, p, quarantine.Suspect, shared, other)
	p.RecordAnswer(start.Add(4*time.Second), []uint64{shared, 91})
	expectState(t, p, quarantine.Clear, shared)
	expectState(t, p, quarantine.Quarantined, deadly)
}

// TestServersThatCrashTogetherConvictNoPart guards against the conviction of a common
// part when many servers crash at once for another reason, before any request with the
// part has been answered.
func TestServersThatCrashTogetherConvictNoPart(t *testing.T) {
	p := newParts()
	for i := range 10 {
		at := start.Add(time.Second + time.Duration(i)*time.Millisecond)
		p.RecordCrash(at, fmt.Sprint("s", i), []quarantine.CrashedRequest{{Parts: []uint64{shared}, GrantedAt: start}})
	}
	expectState(t, p, quarantine.Suspect, shared)
}

// TestPartsBesideASuspectAreNotCounted checks that a crash counts against none of several
// suspects that were on the server.
func TestPartsBesideASuspectAreNotCounted(t *testing.T) {
	p := newParts()
	crash(p, 1, deadly)
	crash(p, 2, other)
	for second := 3; second < 9; second++ {
		at := start.Add(time.Duration(second) * time.Second)
		p.RecordCrash(at, "s", []quarantine.CrashedRequest{
			{Parts: []uint64{deadly}, GrantedAt: at.Add(-time.Millisecond)}, {Parts: []uint64{other}, GrantedAt: at.Add(-time.Millisecond)},
		})
	}
	expectState(t, p, quarantine.Suspect, deadly)
	expectState(t, p, quarantine.Suspect, other)
}

// TestPartsMergeWhatOtherHostsCounted checks that the crashes of several zones add up,
// that a crash which both hosts have counted doesn't count twice, and that a part proven
// here stays proven.
func TestPartsMergeWhatOtherHostsCounted(t *testing.T) {
	a, b := newParts(), newParts()
	crash(a, 1, shared, deadly)
	update := a.Update(start.Add(time.Second), deadly)
	if !b.Merge(start.Add(time.Second), &update) || b.Merge(start.Add(time.Second), &update) {
		t.Error("an update was not news once")
	}
	crash(b, 2, deadly)
	expectState(t, b, quarantine.Suspect, deadly)
	crash(a, 3, shared, deadly)
	update = a.Update(start.Add(3*time.Second), deadly)
	if !b.Merge(start.Add(3*time.Second), &update) {
		t.Error("the third crash did not convict the part")
	}
	expectState(t, b, quarantine.Quarantined, deadly)
	b.RecordAnswer(start.Add(4*time.Second), []uint64{deadly})
	if b.Merge(start.Add(5*time.Second), &update) {
		t.Error("an update suspects a part that was answered here")
	}
	if b.Merge(start, &message.Quarantine{Part: true}) || b.Merge(start, &message.Quarantine{Fingerprint: 1, AgeMs: -1}) {
		t.Error("an update without a part or with a negative age was applied")
	}
}

// TestExpiredConvictionNeedsOneCrash checks that requests with a convicted part run one
// at a time after the conviction expires, and that the next crash convicts it again.
func TestExpiredConvictionNeedsOneCrash(t *testing.T) {
	p := newParts()
	for second := 1; second <= 3; second++ {
		crash(p, second, deadly)
	}
	if got := p.State(start.Add(5*time.Minute+4*time.Second), []uint64{deadly}); got != quarantine.Suspect {
		t.Errorf("state after the conviction has expired: %v, want suspect", got)
	}
	crash(p, 5*60+6, deadly)
	if got := p.State(start.Add(5*time.Minute+7*time.Second), []uint64{deadly}); got != quarantine.Quarantined {
		t.Errorf("state after another crash: %v, want quarantined", got)
	}
}

// TestSoundRequestsAreNeverRefused plays random mixes of sound requests and ones with a
// deadly part, which share their other parts, on servers that run one suspect at a time.
// The deadly part must be convicted after few crashes, and no sound request refused.
func TestSoundRequestsAreNeverRefused(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		p := newParts()
		crashes, sharedParts := 0, uint64(1+random.IntN(6))
		for step := range 400 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			parts := []uint64{100 + random.Uint64N(sharedParts)}
			if random.IntN(4) == 0 {
				parts = append(parts, 200+random.Uint64N(50))
			}
			isDeadly := random.IntN(5) == 0
			if isDeadly {
				parts = slices.Insert(parts, random.IntN(len(parts)+1), deadly)
			}
			state := p.State(now, parts)
			switch {
			case state == quarantine.Quarantined && !isDeadly:
				t.Fatalf("seed %d: a sound request with the parts %v was refused", seed, parts)
			case state == quarantine.Quarantined:
			case isDeadly:
				crashes++
				requests := []quarantine.CrashedRequest{{Parts: parts, GrantedAt: now}}
				if random.IntN(2) == 0 && state == quarantine.Clear {
					beside := []uint64{100 + random.Uint64N(sharedParts), 200 + random.Uint64N(50)}
					requests = append(requests, quarantine.CrashedRequest{Parts: beside, GrantedAt: now})
				}
				p.RecordCrash(now.Add(50*time.Millisecond), fmt.Sprint("s", random.IntN(5)), requests)
			default:
				p.RecordAnswer(now, append(parts, uint64(1000+step)))
			}
		}
		if crashes > 5 {
			t.Errorf("seed %d: %d servers crashed, want at most 5", seed, crashes)
		}
	}
}
