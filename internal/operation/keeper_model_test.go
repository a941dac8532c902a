package operation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

const (
	testWindow   = 10 * time.Minute
	testMaxPause = 2 * time.Second
	testMaxSkew  = 5 * time.Second
	// testDeadTimeout is how long a host is paused or dead before the others
	// take its ranges over.
	testDeadTimeout = 5 * time.Second
	// testMaxLag bounds how much later a host sees membership changes than
	// others do.
	testMaxLag = 3 * time.Second
)

// fleet models a zone of hosts with equal views apart from a bounded lag, a
// registry that counts executions, and callers that repeat their calls.
type fleet struct {
	now   time.Time
	hosts []*fleetHost
	// members are the hosts in every view.
	members []string
	calls   []*fleetCall
	// runs counts the executions of each operation.
	runs map[string]int
	// notRun holds the operations that were answered as not run.
	notRun map[string]bool
	// inFlight are the handover parts in flight.
	inFlight []message.KeyHandover
	nextKey  int
	// fencing makes the registry refuse a number that it has already seen for a
	// key.
	fencing bool
	// split makes each host's view contain only the host itself.
	split bool
	// highestFencing holds the fencing number of each operation's last run.
	highestFencing map[string]int
}

type fleetHost struct {
	name        string
	incarnation int
	version     int
	keeper      *Keeper
	alive       bool
	pausedAt    time.Time
	// staleUntil is when the host's view is updated again.
	staleUntil time.Time
	running    []fleetRun
}

type fleetRun struct {
	id      string
	fencing int
}

type fleetCall struct {
	call      message.OperationCall
	firstSent time.Time
}

func newFleet() *fleet {
	f := &fleet{now: epoch, runs: map[string]int{}, notRun: map[string]bool{}, highestFencing: map[string]int{}}
	for i := range 3 {
		h := &fleetHost{name: fmt.Sprintf("e%d", i+1)}
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	f.refresh()
	return f
}

func (f *fleet) start(h *fleetHost) {
	h.incarnation++
	h.version = 1
	h.alive, h.running, h.pausedAt, h.staleUntil = true, nil, time.Time{}, time.Time{}
	h.keeper = NewKeeper(KeeperConfig{
		Host: h.name, Zone: "a", MaxPause: testMaxPause, MaxSkew: testMaxSkew, MaxPartRecords: 1,
		Limits: Limits{MaxRecords: 64, MaxPerOrganisation: 64, MaxAnswerBytes: 64, MaxBytes: 1 << 10},
	})
	f.join(h)
}

func (f *fleet) join(h *fleetHost) {
	if !slices.Contains(f.members, h.name) {
		f.members = append(f.members, h.name)
		slices.Sort(f.members)
	}
}

func (f *fleet) view() View {
	v := viewOf(slices.Clone(f.members)...)
	for _, h := range f.hosts {
		v.Incarnations[h.name], v.Versions[h.name] = h.incarnation, h.version
	}
	return v
}

func (f *fleet) refresh() {
	for _, h := range f.hosts {
		if h.alive && h.pausedAt.IsZero() {
			h.keeper.SetView(f.now, f.viewOf(h))
			f.sendParts(h)
		}
	}
}

// sendParts puts the parts that a host sends now in flight, including
// retransmissions.
func (f *fleet) sendParts(h *fleetHost) {
	h.keeper.TakeAbandoned(f.now)
	for {
		part, ok := h.keeper.NextPart(f.now)
		if !ok {
			return
		}
		f.inFlight = append(f.inFlight, part)
	}
}

func (f *fleet) viewOf(h *fleetHost) View {
	if f.now.Before(h.staleUntil) {
		return h.keeper.view
	}
	v := f.view()
	if f.split {
		v.Hosts = []string{h.name}
	}
	return v
}

func (f *fleet) leave(name string) {
	f.members = slices.DeleteFunc(f.members, func(member string) bool { return member == name })
	f.refresh()
}

// advance moves time forward in steps shorter than the longest pause.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		step := min(end.Sub(f.now), testMaxPause/2)
		f.now = f.now.Add(step)
		f.refresh()
		for _, h := range f.hosts {
			if !h.pausedAt.IsZero() && f.now.Sub(h.pausedAt) >= testDeadTimeout && slices.Contains(f.members, h.name) {
				f.leave(h.name)
			}
		}
	}
}

func (f *fleet) host(t *rapid.T) *fleetHost { return rapid.SampledFrom(f.hosts).Draw(t, "host") }

func (f *fleet) newCall(t *rapid.T) {
	f.addCall(t)
	f.resend(t)
}

// newCallEverywhere sends a new call to all hosts at once.
func (f *fleet) newCallEverywhere(t *rapid.T) { f.sendEverywhere(f.addCall(t)) }

func (f *fleet) sendEverywhere(c *fleetCall) {
	for _, h := range f.hosts {
		f.sendTo(h, c)
	}
}

func (f *fleet) addCall(t *rapid.T) *fleetCall {
	f.nextKey++
	c := &fleetCall{firstSent: f.now, call: message.OperationCall{
		Kind: message.OperationCallKindKey, Operation: fmt.Sprint("key-", f.nextKey), Organisation: "aurora",
		Service: "registry", Method: "POST", Path: "/handovers",
	}}
	if rapid.Bool().Draw(t, "with a timestamp") {
		c.call.KeyTimeMs = int(f.now.UnixMilli())
	}
	f.calls = append(f.calls, c)
	return c
}

// resend repeats a call. A key without a timestamp is repeated only within the
// retry window, as callers are required to do.
func (f *fleet) resend(t *rapid.T) {
	if len(f.calls) == 0 {
		t.Skip("no call yet")
	}
	c := f.calls[len(f.calls)-1-rapid.IntRange(0, min(len(f.calls)-1, 8)).Draw(t, "call")]
	if c.call.KeyTimeMs == 0 && f.now.Sub(c.firstSent) > testWindow {
		t.Skip("the window is over")
	}
	f.send(t, c)
}

// send delivers a call to any running host, even if no view names that host as
// the keeper.
func (f *fleet) send(t *rapid.T, c *fleetCall) {
	f.sendTo(f.host(t), c)
}

func (f *fleet) sendTo(h *fleetHost, c *fleetCall) {
	if !h.alive || !h.pausedAt.IsZero() {
		return
	}
	decision := h.keeper.Begin(f.now, c.call)
	switch decision.Action {
	case ActionRun:
		h.running = append(h.running, fleetRun{id: decision.ID, fencing: FencingNumber(c.call)})
	case ActionReply:
		if decision.Reply.Verdict == message.OperationReplyVerdictNotRun {
			f.notRun[keyID(c.call)] = true
		}
	}
}

func (f *fleet) finish(t *rapid.T) {
	var busy []*fleetHost
	for _, h := range f.hosts {
		if len(h.running) > 0 && h.pausedAt.IsZero() {
			busy = append(busy, h)
		}
	}
	if len(busy) == 0 {
		t.Skip("nothing runs")
	}
	h := rapid.SampledFrom(busy).Draw(t, "host")
	f.finishOn(h, rapid.SampledFrom([]message.OperationReplyVerdict{"ran", "not_run", "may_have_run"}).Draw(t, "verdict"),
		rapid.Bool().Draw(t, "lost answer"))
}

// finishOn ends a host's oldest execution with a verdict. An execution with the
// verdict may_have_run took place only if its answer was lost.
func (f *fleet) finishOn(h *fleetHost, v message.OperationReplyVerdict, answerLost bool) {
	run := h.running[0]
	h.running = h.running[1:]
	if v == "ran" || v == "may_have_run" && answerLost {
		f.execute(run)
	}
	if v == "not_run" {
		f.notRun[run.id] = true
	}
	h.keeper.Finish(f.now, run.id, replyWith(v))
}

// execute runs an operation on the registry.
func (f *fleet) execute(run fleetRun) {
	if f.fencing && run.fencing <= f.highestFencing[run.id] {
		return
	}
	f.highestFencing[run.id] = run.fencing
	f.runs[run.id]++
}

func (f *fleet) passTime(t *rapid.T) {
	longest := rapid.SampledFrom([]int{500, 10_000, 400_000}).Draw(t, "longest")
	f.advance(time.Duration(rapid.IntRange(1, longest).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) checkRuns(t *rapid.T) {
	for id, runs := range f.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", id, runs)
		}
	}
}

func (f *fleet) check(t *rapid.T) {
	f.checkRuns(t)
	for id := range f.notRun {
		if f.runs[id] > 0 {
			t.Fatalf("%s was answered as not run but ran", id)
		}
	}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": f.newCall, "call everywhere": f.newCallEverywhere, "resend": f.resend, "finish": f.finish, "pass": f.passTime,
		"kill": f.kill, "stop": f.stop, "deliver": f.deliver, "deliver all": f.deliverAll, "lag": f.delayViews, "away": f.interruptHost, "join again": f.rejoinTwice,
		"restart": f.restart, "pause": f.pause, "wake": f.resume,
		"": f.check,
	}
}

func TestKeysRunAtMostOnceWhileViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "age s")) * time.Second)
		t.Repeat(f.actions())
	})
}

// TestKeysRunAtMostOnceWithFencing lets each host use its own view, so that
// several hosts keep the same key. The registry checks fencing numbers.
func TestKeysRunAtMostOnceWithFencing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.fencing = true
		f.advance(1500 * time.Second)
		actions := f.actions()
		actions["split"] = func(*rapid.T) {
			f.split = !f.split
			f.refresh()
		}
		actions["call everywhere in a long split"] = func(t *rapid.T) {
			f.split = true
			f.advance(testWindow + 2*testMaxSkew)
			f.newCallEverywhere(t)
		}
		actions["finish another"] = f.finish
		actions["finish a third"] = f.finish
		actions[""] = f.checkRuns
		t.Repeat(actions)
	})
}
