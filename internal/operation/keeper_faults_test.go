package operation

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

func (f *fleet) kill(t *rapid.T) {
	h := f.host(t)
	if !h.alive || !slices.Contains(f.members, h.name) {
		t.Skip("not a member")
	}
	f.killHost(t, h)
}

func (f *fleet) killHost(t *rapid.T, h *fleetHost) {
	h.alive = false
	for _, run := range h.running {
		if rapid.Bool().Draw(t, "executed before the kill") {
			f.execute(run)
		}
	}
	h.running = nil
	f.advance(testDeadTimeout)
	f.leave(h.name)
}

// stop makes a host hand over its ranges, optionally wait for the
// acknowledgements, and leave.
func (f *fleet) stop(t *rapid.T) {
	h := f.host(t)
	if !h.alive || !h.pausedAt.IsZero() || len(h.running) > 0 {
		t.Skip("not idle")
	}
	h.keeper.QueueFinalHandover(f.now)
	f.sendParts(h)
	if rapid.Bool().Draw(t, "waits for acknowledgements") {
		f.advance(maxAckWait)
		f.deliverAll(t)
	}
	f.leave(h.name)
	h.alive = false
}

// deliver delivers a handover part to its receiver once or twice, or drops it.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("no part in flight")
	}
	i := 0
	if rapid.IntRange(0, 2).Draw(t, "out of order") == 0 {
		i = rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "part")
	}
	part, outcome := f.inFlight[i], rapid.IntRange(0, 7).Draw(t, "outcome")
	receiver := f.hostByName(part.To)
	if !receiver.pausedAt.IsZero() {
		t.Skip("the receiver is paused")
	}
	if receiver.alive && outcome != 0 {
		receiver.keeper.SetView(f.now, f.viewOf(receiver))
		f.receivePart(t, receiver, part)
	}
	if outcome != 1 {
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
}

// deliverAll delivers a random subset of the parts in flight to their
// receivers.
func (f *fleet) deliverAll(t *rapid.T) {
	parts := f.inFlight
	f.inFlight = nil
	for _, part := range parts {
		receiver := f.hostByName(part.To)
		if rapid.IntRange(0, 3).Draw(t, "delayed") == 0 {
			f.inFlight = append(f.inFlight, part)
		} else if receiver.alive && receiver.pausedAt.IsZero() {
			f.receivePart(t, receiver, part)
		}
	}
}

// receivePart delivers a part to its receiver; the acknowledgement may be lost.
func (f *fleet) receivePart(t *rapid.T, receiver *fleetHost, part message.KeyHandover) {
	ack, ok := receiver.keeper.ReceiveHandoverPart(f.now, part)
	sender := f.hostByName(part.Host)
	if ok && sender.alive && sender.pausedAt.IsZero() && rapid.Bool().Draw(t, "acknowledged") {
		sender.keeper.ReceiveHandoverAck(ack)
	}
}

func (f *fleet) hostByName(name string) *fleetHost {
	i := slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.name == name })
	return f.hosts[i]
}

// delayViews delays a host's view updates by up to testMaxLag.
func (f *fleet) delayViews(t *rapid.T) {
	f.host(t).staleUntil = f.now.Add(time.Duration(rapid.IntRange(0, int(testMaxLag/time.Millisecond)).Draw(t, "lag ms")) * time.Millisecond)
}

func (f *fleet) restart(t *rapid.T) {
	h := f.host(t)
	if h.alive {
		t.Skip("alive")
	}
	f.start(h)
	f.refresh()
}

func (f *fleet) pause(t *rapid.T) {
	h := f.host(t)
	if !h.alive || !h.pausedAt.IsZero() {
		t.Skip("not running")
	}
	h.pausedAt = f.now
}

// resume continues a paused host. Its first actions use its old view.
func (f *fleet) resume(t *rapid.T) {
	h := f.host(t)
	if h.pausedAt.IsZero() {
		t.Skip("not paused")
	}
	f.resumeHost(t, h)
}

func (f *fleet) resumeHost(t *rapid.T, h *fleetHost) {
	h.pausedAt = time.Time{}
	if len(f.calls) > 0 {
		f.send(t, f.calls[len(f.calls)-1])
	}
	if rapid.Bool().Draw(t, "old view first") {
		h.keeper.SetView(f.now, h.keeper.view)
		for _, part := range f.inFlight {
			h.keeper.ReceiveHandoverPart(f.now, part)
		}
		f.resend(t)
	}
	if !slices.Contains(f.members, h.name) {
		h.version++
		f.join(h)
	}
	f.refresh()
}

// interruptHost kills or pauses a host, sends a call while the host is
// unavailable, and sends it again once the host is available.
func (f *fleet) interruptHost(t *rapid.T) {
	h := f.host(t)
	if !h.alive || !h.pausedAt.IsZero() {
		t.Skip("already unavailable")
	}
	restoreHost := func() { f.start(h); f.refresh() }
	if rapid.Bool().Draw(t, "paused") {
		h.pausedAt = f.now
		restoreHost = func() { f.resumeHost(t, h) }
	} else {
		f.killHost(t, h)
	}
	f.advance(3 * testMaxSkew)
	c := f.addCall(t)
	f.sendEverywhere(c)
	if rapid.Bool().Draw(t, "executed at once") {
		f.finishAll()
	}
	restoreHost()
	f.advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "handed over after s")) * time.Second)
	for _, part := range f.inFlight {
		if part.To == h.name && rapid.Bool().Draw(t, "handed over") {
			f.receivePart(t, h, part)
		}
	}
	f.sendEverywhere(c)
	f.finishAll()
}

// rejoinTwice kills and restarts a host twice while handovers to it are in
// flight. It sends calls while the host is unavailable and again afterwards.
func (f *fleet) rejoinTwice(t *rapid.T) {
	h := f.host(t)
	if !h.alive || !h.pausedAt.IsZero() {
		t.Skip("already unavailable")
	}
	for range 2 {
		f.killHost(t, h)
		f.advance(testMaxSkew + time.Duration(rapid.IntRange(1, 2000).Draw(t, "unavailable ms"))*time.Millisecond)
		var calls []*fleetCall
		for range 3 {
			c := f.addCall(t)
			f.sendEverywhere(c)
			calls = append(calls, c)
		}
		f.finishAll()
		f.start(h)
		f.refresh()
		f.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "rejoined ms")) * time.Millisecond)
		f.deliverAll(t)
		for _, c := range calls {
			f.sendEverywhere(c)
		}
		f.finishAll()
	}
}

func (f *fleet) finishAll() {
	for _, h := range f.hosts {
		for h.alive && h.pausedAt.IsZero() && len(h.running) > 0 {
			f.finishOn(h, "ran", false)
		}
	}
}
