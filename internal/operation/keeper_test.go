package operation

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"mimosafront/internal/message"
)

func callWithKey(key string, keyTime time.Time) message.OperationCall {
	call := message.OperationCall{
		Kind: message.OperationCallKindKey, Operation: key, Organisation: "aurora", Service: "registry", Method: "POST",
	}
	if !keyTime.IsZero() {
		call.KeyTimeMs = int(keyTime.UnixMilli())
	}
	return call
}

func viewOf(hosts ...string) View {
	v := View{
		Zones: []string{"a"}, Hosts: hosts, Incarnations: map[string]int{}, Versions: map[string]int{}, RetryWindow: testWindow,
	}
	for _, host := range hosts {
		v.Incarnations[host] = 1
	}
	return v
}

// newKeepers returns a keeper for each host of a view, with that view as its
// first. Their MaxPause is too long for a pause to be detected.
func newKeepers(v View) map[string]*Keeper {
	keepers := map[string]*Keeper{}
	for _, host := range v.Hosts {
		keepers[host] = NewKeeper(KeeperConfig{Host: host, Zone: "a", MaxPause: 24 * time.Hour, MaxSkew: testMaxSkew, Limits: DefaultLimits})
		keepers[host].SetView(epoch, v)
	}
	return keepers
}

// keyOf returns a key that a host keeps in a view.
func keyOf(host string, v View) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if rangeKeeper(rangeOf("aurora/registry/"+key), v.Hosts) == host {
			return key
		}
	}
}

func newSoloKeeper() *Keeper {
	k := NewKeeper(KeeperConfig{Host: "e1", Zone: "a", MaxPause: testMaxPause, MaxSkew: testMaxSkew, Limits: DefaultLimits})
	k.SetView(epoch, viewOf("e1"))
	return k
}

func TestKeeperRefusesKeysItMayHaveMissed(t *testing.T) {
	tests := []struct {
		name    string
		after   time.Duration
		keyTime time.Duration // after epoch; 0 for a key without a timestamp
		want    Action
	}{
		{"key without a timestamp in the first window", testWindow, 0, ActionReply},
		{"key without a timestamp within the clock skew of the first window", testWindow + testMaxSkew, 0, ActionReply},
		{"key without a timestamp after the first window", testWindow + testMaxSkew + time.Second, 0, ActionRun},
		{"key from before the start", time.Minute, -time.Second, ActionReply},
		{"key within the clock skew of the start", time.Minute, testMaxSkew, ActionReply},
		{"key from after the start", time.Minute, testMaxSkew + time.Second, ActionRun},
		{"key from the future", time.Minute, time.Minute + testMaxSkew + time.Second, ActionReply},
		{"key older than the window", 2 * testWindow, time.Minute, ActionReply},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := newSoloKeeper()
			now := epoch.Add(test.after)
			k.viewAt = now
			var keyTime time.Time
			if test.keyTime != 0 {
				keyTime = epoch.Add(test.keyTime)
			}
			decision := k.Begin(now, callWithKey("k", keyTime))
			if decision.Action != test.want {
				t.Errorf("decision %+v, want action %d", decision, test.want)
			}
			if test.want == ActionReply && decision.Reply.Verdict != message.OperationReplyVerdictMayHaveRun {
				t.Errorf("verdict %s, want may_have_run", decision.Reply.Verdict)
			}
		})
	}
}

func TestPausedKeeperExecutesNothing(t *testing.T) {
	k := newSoloKeeper()
	now := epoch.Add(time.Minute)
	if decision := k.Begin(now, callWithKey("k", now)); decision.Action != ActionReply {
		t.Errorf("executed after a pause: %+v", decision)
	}
}

func TestNextKeeperContinuesAfterTheHandover(t *testing.T) {
	view := viewOf("e1", "e2")
	keepers := newKeepers(view)
	now := epoch.Add(testWindow + time.Minute)
	var ran, fresh []string
	for i := 0; len(ran) < 600; i++ {
		key := fmt.Sprint("key-", i)
		if decision := keepers["e1"].Begin(now, callWithKey(key, time.Time{})); decision.Action == ActionRun {
			keepers["e1"].Finish(now, decision.ID, replyWith("ran"))
			ran = append(ran, key)
		} else if decision.Action == ActionReply && len(fresh) < 10 {
			fresh = append(fresh, key)
		}
	}
	parts := keepers["e1"].FinalHandover(now)
	if len(parts) < 3 {
		t.Fatalf("%d records in %d parts", len(ran), len(parts))
	}
	for _, part := range parts {
		keepers["e2"].ReceiveHandoverPart(now, part)
	}
	view = viewOf("e2")
	keepers["e2"].SetView(now.Add(time.Second), view)
	for _, key := range ran {
		decision := keepers["e2"].Begin(now.Add(time.Second), callWithKey(key, time.Time{}))
		if decision.Action != ActionReply || !decision.Reply.Replayed || string(decision.Reply.Body) != "answer" {
			t.Fatalf("%s at the next keeper: %+v", key, decision)
		}
	}
	for _, key := range append(fresh, "new") {
		if decision := keepers["e2"].Begin(now.Add(time.Second), callWithKey(key, time.Time{})); decision.Action != ActionRun {
			t.Errorf("the next keeper does not run %s: %+v", key, decision)
		}
	}
	if decision := keepers["e1"].Begin(now, callWithKey("late", now)); decision.Action != ActionReply {
		t.Errorf("the previous keeper runs a key after its handover: %+v", decision)
	}
}

func TestHandoverWithALostPartLeavesTheRangesUnknown(t *testing.T) {
	view := viewOf("e1", "e2")
	keepers := newKeepers(view)
	e1, e2 := keepers["e1"], keepers["e2"]
	now := epoch.Add(testWindow + time.Minute)
	lost := ""
	for i := range 900 {
		key := fmt.Sprint("key-", i)
		if decision := e1.Begin(now, callWithKey(key, time.Time{})); decision.Action == ActionRun {
			e1.Finish(now, decision.ID, replyWith("ran"))
		}
	}
	parts := e1.FinalHandover(now)
	for _, r := range parts[0].Records {
		lost = r.Operation
	}
	for _, part := range parts[1:] {
		e2.ReceiveHandoverPart(now, part)
	}
	view = viewOf("e2")
	e2.SetView(now, view)
	key := lost[len("aurora/registry/"):]
	if decision := e2.Begin(now, callWithKey(key, time.Time{})); decision.Action == ActionRun {
		t.Errorf("%s runs again", key)
	}
}

func TestLongerRetryWindowDoesNotRerunExpiredKeys(t *testing.T) {
	k := newSoloKeeper()
	now := epoch.Add(2 * testWindow)
	k.viewAt = now
	d := k.Begin(now, callWithKey("k", time.Time{}))
	k.Finish(now, d.ID, replyWith("ran"))
	for range 620 {
		now = now.Add(time.Second)
		k.SetView(now, viewOf("e1"))
	}
	longer := viewOf("e1")
	longer.RetryWindow = 2 * testWindow
	k.SetView(now, longer)
	if decision := k.Begin(now, callWithKey("k", time.Time{})); decision.Action == ActionRun {
		t.Error("a key runs again within the longer window")
	}
}

func TestKeeperDropsItsRangesAfterAPause(t *testing.T) {
	both := viewOf("e1", "e2")
	keeper := NewKeeper(KeeperConfig{Host: "e1", Zone: "a", MaxPause: testMaxPause, MaxSkew: testMaxSkew, Limits: DefaultLimits})
	keeper.SetView(epoch, both)
	// While e1 is paused, e2 keeps its ranges, executes the key and leaves.
	resumed := epoch.Add(2 * testWindow)
	keeper.SetView(resumed, both)
	key := keyOf("e1", both)
	for name, keyTime := range map[string]time.Time{"key without a timestamp": {}, "key with a timestamp": resumed.Add(-time.Minute)} {
		if decision := keeper.Begin(resumed, callWithKey(key, keyTime)); decision.Action == ActionRun {
			t.Errorf("%s from the time of the pause is executed", name)
		}
	}
}

func TestKeeperDropsItsRangesAfterItWasDeclaredDead(t *testing.T) {
	keeper := newKeepers(viewOf("e1"))["e1"]
	now := epoch.Add(2 * testWindow)
	refuted := viewOf("e1")
	refuted.Versions["e1"] = 1
	keeper.SetView(now, refuted)
	if decision := keeper.Begin(now, callWithKey("k", time.Time{})); decision.Action == ActionRun {
		t.Error("a key that another host may have executed is executed")
	}
}

func TestAnswersAreKeptForTheRetryWindow(t *testing.T) {
	keeper := newKeepers(viewOf("e1"))["e1"]
	now := epoch.Add(2 * testWindow)
	decision := keeper.Begin(now, callWithKey("k", time.Time{}))
	keeper.Finish(now, decision.ID, replyWith("ran"))
	now = now.Add(testWindow)
	keeper.SetView(now, viewOf("e1"))
	if decision := keeper.Begin(now, callWithKey("k", time.Time{})); !decision.Reply.Replayed {
		t.Errorf("at the end of the window: %+v", decision)
	}
}

// TestHandoverIsAcceptedOnlyFromTheLastKeeper moves a range from e1 to e3 and
// then to e2, while a handover from e1 to e2 is delayed.
func TestHandoverIsAcceptedOnlyFromTheLastKeeper(t *testing.T) {
	all := viewOf("e1", "e2", "e3")
	now := epoch.Add(2 * testWindow)
	var parts []message.KeyHandover
	for _, part := range newKeepers(all)["e1"].FinalHandover(now) {
		if part.To == "e2" {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 || len(parts[0].Ranges) == 0 {
		t.Fatal("e1 hands nothing over to e2")
	}
	key := ""
	for i := 0; key == ""; i++ {
		r := rangeOf(fmt.Sprint("aurora/registry/key-", i))
		if parts[0].Ranges[0].Range == r {
			key = fmt.Sprint("key-", i)
		}
	}
	// e3 keeps the range only in views without e2. To make e2 see e3 as the
	// keeper, e3 is the only member of that view.
	tests := []struct {
		name    string
		views   []View // views of e2, in order
		arrival int    // index of the view that follows the handover
		want    Action
	}{
		{"in time", []View{all, viewOf("e2", "e3")}, 1, ActionRun},
		{"after the takeover", []View{all, viewOf("e2", "e3")}, 2, ActionRun},
		{"another keeper in between, pending", []View{all, viewOf("e3"), viewOf("e2", "e3")}, 1, ActionReply},
		{"another keeper in between, early", []View{all, viewOf("e3"), viewOf("e2", "e3")}, 2, ActionReply},
		{"another keeper in between, late", []View{all, viewOf("e3"), viewOf("e2", "e3")}, 3, ActionReply},
		{"the sender restarted in between", []View{all, restarted(all, "e1"), viewOf("e2", "e3")}, 3, ActionReply},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e2 := newKeepers(all)["e2"]
			for i, view := range append(test.views, test.views[len(test.views)-1]) {
				if i == test.arrival {
					for _, part := range parts {
						e2.ReceiveHandoverPart(now, part)
					}
				}
				e2.SetView(now, view)
			}
			if decision := e2.Begin(now, callWithKey(key, time.Time{})); decision.Action != test.want {
				t.Errorf("decision %+v, want action %d", decision, test.want)
			}
		})
	}
}

func restarted(v View, host string) View {
	v.Incarnations = maps.Clone(v.Incarnations)
	v.Incarnations[host]++
	return v
}

func TestHandoverForAnotherHostIsIgnored(t *testing.T) {
	view := viewOf("e1", "e2")
	now := epoch.Add(2 * testWindow)
	parts := newKeepers(view)["e1"].FinalHandover(now)
	e2 := newKeepers(view)["e2"]
	for _, part := range parts {
		part.To = "e3"
		e2.ReceiveHandoverPart(now, part)
	}
	e2.SetView(now, viewOf("e2"))
	if decision := e2.Begin(now, callWithKey(keyOf("e1", view), time.Time{})); decision.Action == ActionRun {
		t.Error("a handover addressed to another host was accepted")
	}
}

// TestJoiningHostContinuesAfterTheHandover lets e2 join while e1 executes a
// call.
func TestJoiningHostContinuesAfterTheHandover(t *testing.T) {
	alone, both := viewOf("e1"), viewOf("e1", "e2")
	e1 := newKeepers(alone)["e1"]
	now := epoch.Add(2 * testWindow)
	call := callWithKey(keyOf("e2", both), time.Time{})
	running := e1.Begin(now, call)
	e2 := newKeepers(both)["e2"]
	e2.SetView(now.Add(-time.Second), viewOf("e1"))
	e2.SetView(now, both)
	e1.SetView(now, both)
	if decision := e2.Begin(now, call); !isKeeperChanging(decision.Reply) {
		t.Errorf("before the handover: %+v", decision)
	}
	transfer := func() (ranges int) {
		for _, part := range e1.JoinHandover(now) {
			ranges += len(part.Ranges)
			e2.ReceiveHandoverPart(now, part)
		}
		return ranges
	}
	first := transfer()
	if decision := e2.Begin(now, call); !isKeeperChanging(decision.Reply) {
		t.Errorf("while the operation is executed: %+v", decision)
	}
	e1.Finish(now, running.ID, replyWith("ran"))
	if second := transfer(); first == 0 || second != 1 || transfer() != 0 {
		t.Errorf("%d ranges handed over at once and %d after the execution", first, second)
	}
	if decision := e2.Begin(now, call); !decision.Reply.Replayed {
		t.Errorf("after the handover: %+v", decision)
	}
	fresh := callWithKey("x"+call.Operation, time.Time{})
	for rangeOf(keyID(fresh)) != rangeOf(keyID(call)) {
		fresh.Operation += "x"
	}
	if decision := e1.Begin(now, fresh); !isKeeperChanging(decision.Reply) {
		t.Errorf("the previous keeper: %+v", decision)
	}
	if decision := e2.Begin(now, fresh); decision.Action != ActionRun {
		t.Errorf("a new key after the handover: %+v", decision)
	}
}
