package operation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// joinScenario is a handover from e1, which executed keys, to e2, which joined.
type joinScenario struct {
	e1, e2 *Keeper
	now    time.Time
	// ran are the keys that e1 executed in the ranges of e2.
	ran []string
}

func newJoinScenario(keys int) *joinScenario {
	alone, both := viewOf("e1"), viewOf("e1", "e2")
	h := &joinScenario{e1: newKeepers(alone)["e1"], e2: newKeepers(both)["e2"], now: epoch.Add(2 * testWindow)}
	for _, k := range []*Keeper{h.e1, h.e2} {
		k.config.MaxPartRecords = 1
	}
	for i := 0; len(h.ran) < keys; i++ {
		key := fmt.Sprint("key-", i)
		if rangeKeeper(rangeOf("aurora/registry/"+key), both.Hosts) == "e2" {
			h.execute(key)
			h.ran = append(h.ran, key)
		}
	}
	h.e2.SetView(h.now, alone)
	h.setViews(both)
	return h
}

func (h *joinScenario) execute(key string) {
	decision := h.e1.Begin(h.now, callWithKey(key, time.Time{}))
	h.e1.Finish(h.now, decision.ID, replyWith("ran"))
}

func (h *joinScenario) setViews(v View) {
	h.e1.SetView(h.now, v)
	h.e2.SetView(h.now, v)
}

// parts returns the parts that e1 sends within a duration.
func (h *joinScenario) parts(within time.Duration) (parts []message.KeyHandover) {
	for end := h.now.Add(within); !h.now.After(end); h.now = h.now.Add(handoverInterval) {
		if part, ok := h.e1.NextPart(h.now); ok {
			parts = append(parts, part)
		}
	}
	return parts
}

func TestLostHandoverPartsAreResent(t *testing.T) {
	h := newJoinScenario(5)
	first := h.parts(4 * handoverInterval)
	for i, part := range first {
		if ack, ok := h.e2.ReceiveHandoverPart(h.now, part); i%2 == 0 && ok {
			h.e1.ReceiveHandoverAck(ack)
		}
	}
	lost := h.parts(joinHandoverWait - time.Second)
	if len(first) != 5 || len(lost) == 0 {
		t.Fatalf("%d parts, %d resent", len(first), len(lost))
	}
	for _, part := range lost {
		if part.Part%2 == 0 {
			t.Errorf("part %d was resent after its acknowledgement", part.Part)
		}
		ack, _ := h.e2.ReceiveHandoverPart(h.now, part)
		h.e1.ReceiveHandoverAck(ack)
	}
	if n := h.e1.PendingHandovers(); n != 0 {
		t.Errorf("%d handovers pending at the end", n)
	}
}

// TestHandoverIsCompleteOutOfOrder delivers the last part first.
func TestHandoverIsCompleteOutOfOrder(t *testing.T) {
	h := newJoinScenario(5)
	parts := h.parts(4 * handoverInterval)
	slices.Reverse(parts)
	fresh := callWithKey(keyOf("e2", viewOf("e1", "e2"))+"-fresh", time.Time{})
	for rangeOf(keyID(fresh)) != rangeOf("aurora/registry/"+h.ran[0]) {
		fresh.Operation += "x"
	}
	for _, part := range parts {
		if decision := h.e2.Begin(h.now, fresh); decision.Action == ActionRun {
			t.Fatalf("a key without a timestamp ran before part %d arrived", part.Part)
		}
		h.e2.ReceiveHandoverPart(h.now, part)
	}
	for _, key := range h.ran {
		if decision := h.e2.Begin(h.now, callWithKey(key, time.Time{})); !decision.Reply.Replayed {
			t.Errorf("%s: %+v", key, decision)
		}
	}
	if decision := h.e2.Begin(h.now, fresh); decision.Action != ActionRun {
		t.Errorf("a new key after the handover: %+v", decision)
	}
}

// TestPartsOfAnotherHandoverAreNotCounted delivers one handover whole and a
// second one without its first part. The second must not count as complete.
func TestPartsOfAnotherHandoverAreNotCounted(t *testing.T) {
	h := newJoinScenario(2)
	parts := h.parts(handoverInterval)
	for _, part := range parts {
		part.Ranges = nil
		h.e2.ReceiveHandoverPart(h.now, part)
	}
	last := parts[1]
	last.Number++
	h.e2.ReceiveHandoverPart(h.now, last)
	key := callWithKey("fresh", time.Time{})
	for rangeOf(keyID(key)) != rangeOf("aurora/registry/"+h.ran[0]) {
		key.Operation += "x"
	}
	if decision := h.e2.Begin(h.now, key); decision.Action == ActionRun {
		t.Error("a handover with a missing part was accepted")
	}
}

// TestHandoverToAHostThatNeverAcknowledges hands over to a host of an older
// version, which accepts parts only in order and sends no acknowledgement.
func TestHandoverToAHostThatNeverAcknowledges(t *testing.T) {
	h := newJoinScenario(3)
	sends := map[int]int{}
	for i, part := range h.parts(time.Minute) {
		if i < 3 && part.Part != i {
			t.Errorf("part %d was sent at position %d", part.Part, i)
		}
		sends[part.Part]++
	}
	for part := range 3 {
		if sends[part] != maxPartSends {
			t.Errorf("part %d was sent %d times", part, sends[part])
		}
	}
	abandoned := h.e1.TakeAbandoned(h.now)
	if len(abandoned) != 1 || abandoned[0].Host != "e2" || abandoned[0].Reason != reasonNotAcknowledged || abandoned[0].Ranges == 0 {
		t.Errorf("abandoned: %+v", abandoned)
	}
}

// TestRangesNeverSentAreAbandonedWithAReason covers ranges that are released to
// a joining host and abandoned before any part of their handover was built.
func TestRangesNeverSentAreAbandonedWithAReason(t *testing.T) {
	refuted := viewOf("e1", "e2")
	refuted.Versions["e2"] = 1
	rejoined := viewOf("e1", "e2")
	rejoined.Versions["e1"] = 1
	for reason, v := range map[string]View{reasonReceiverRejoined: refuted, reasonSenderInterrupted: rejoined} {
		t.Run(reason, func(t *testing.T) {
			h := newJoinScenario(2)
			h.e1.SetView(h.now, v)
			if parts := h.parts(time.Minute); len(parts) > 0 {
				t.Errorf("%d parts were sent", len(parts))
			}
			abandoned := h.e1.TakeAbandoned(h.now)
			if len(abandoned) != 1 || abandoned[0].Host != "e2" || abandoned[0].Reason != reason || abandoned[0].Ranges == 0 {
				t.Errorf("abandoned: %+v", abandoned)
			}
			if again := h.e1.TakeAbandoned(h.now); len(again) > 0 {
				t.Errorf("reported twice: %+v", again)
			}
		})
	}
}

func TestObsoleteHandoversAreNotResent(t *testing.T) {
	both := viewOf("e1", "e2")
	refuted := viewOf("e1", "e2")
	refuted.Versions["e2"] = 1
	rejoined := viewOf("e1", "e2")
	rejoined.Versions["e1"] = 1
	for name, v := range map[string]View{
		"the receiver restarted":            restarted(both, "e2"),
		"the receiver was declared dead":    refuted,
		"the sender was declared dead":      rejoined,
		"the sender keeps the ranges again": viewOf("e1"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newJoinScenario(2)
			if len(h.parts(handoverInterval)) == 0 {
				t.Fatal("no part was sent")
			}
			h.e1.SetView(h.now, v)
			h.e1.TakeAbandoned(h.now)
			for _, part := range h.parts(time.Minute) {
				if part.Number == 1 {
					t.Errorf("resent: %+v", part)
				}
			}
		})
	}
}

func TestOutboxIsBounded(t *testing.T) {
	o := outbox{limits: Limits{MaxRecords: 2, MaxBytes: 100}}
	dropped := 0
	for number := range 20 {
		dropped += len(o.add([]message.KeyHandover{{Number: number + 1, Records: make([]message.KeyRecord, 1)}}))
		dropped += len(o.add([]message.KeyHandover{{Number: 100 + number, Records: []message.KeyRecord{{Body: make([]byte, 90)}}}}))
	}
	var kept []int
	for _, handover := range o.handovers {
		kept = append(kept, handover.number)
	}
	if want := []int{19, 118, 20, 119}; !slices.Equal(kept, want) {
		t.Errorf("handovers %v are kept, want %v", kept, want)
	}
	// Those that are dropped are logged as abandoned.
	if want := 40 - len(kept); dropped != want {
		t.Errorf("%d handovers are reported as dropped, want %d", dropped, want)
	}
}
