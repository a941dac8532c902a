package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/grant"
	"mimosafront/internal/message"
)

func (m *machine) actions() map[string]func(*rapid.T) {
	anyFront := func(t *rapid.T) *front { return m.fronts[rapid.SampledFrom(frontHosts).Draw(t, "front")] }
	anyCoordinator := func(t *rapid.T) string { return rapid.SampledFrom(coordinatorHosts).Draw(t, "coordinator") }
	takePacket := func(t *rapid.T) packet {
		if len(m.network) == 0 {
			t.Skip("the network is empty")
		}
		// Any of the six oldest packets is delivered next, which reorders them.
		i := rapid.IntRange(0, min(len(m.network)-1, 5)).Draw(t, "packet")
		p := m.network[i]
		if m.paused[p.to] {
			t.Skip("the receiver is paused")
		}
		m.network = slices.Delete(m.network, i, i+1)
		return p
	}
	deliver := func(t *rapid.T) { m.deliver(takePacket(t)) }
	return map[string]func(*rapid.T){
		"ask":            func(t *rapid.T) { m.ask(t, anyFront(t)) },
		"deliver":        deliver,
		"deliver more":   deliver,
		"deliver again":  deliver,
		"lose":           func(t *rapid.T) { takePacket(t) },
		"duplicate":      func(t *rapid.T) { p := takePacket(t); m.network = append(m.network, p); m.deliver(p) },
		"heartbeat":      func(t *rapid.T) { m.heartbeat(anyFront(t)) },
		"advance":        func(t *rapid.T) { m.advance(rapid.IntRange(1, 20).Draw(t, "ticks")) },
		"give up":        func(t *rapid.T) { m.giveUp(t, anyFront(t)) },
		"end wait":       func(t *rapid.T) { m.endWait(t, anyFront(t)) },
		"run":            func(t *rapid.T) { m.runAny(t, anyFront(t)) },
		"run more":       func(t *rapid.T) { m.runAny(t, anyFront(t)) },
		"park":           func(t *rapid.T) { m.parkAny(t, anyFront(t)) },
		"pause":          func(t *rapid.T) { m.paused[anyCoordinator(t)] = true },
		"resume":         func(t *rapid.T) { m.paused = map[string]bool{} },
		"move ownership": func(t *rapid.T) { m.owner = anyCoordinator(t) },
		"learn owner":    func(t *rapid.T) { f := anyFront(t); f.owner = m.owner; f.SetTopology(m.now, f) },
		"take over":      func(t *rapid.T) { m.applyOwnership(anyCoordinator(t)) },
		"restart":        func(t *rapid.T) { m.restart(anyCoordinator(t)) },
		"restart front":  func(t *rapid.T) { m.restartFront(anyFront(t)) },
		"":               func(t *rapid.T) { m.collect(t); m.check(t) },
	}
}

func (m *machine) ask(t *rapid.T, f *front) {
	m.requestCount++
	id := fmt.Sprintf("r%04d", m.requestCount)
	f.open[id] = true
	f.requests[id] = grant.Request{
		ID: id, Target: "m", Tier: rapid.IntRange(0, 1).Draw(t, "tier"),
		Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"), Caller: "x",
		PromptTokens: rapid.SampledFrom([]int{50, 400}).Draw(t, "prompt"), OutputTokens: 50, Arrived: m.now,
		Fingerprint: uint64(rapid.IntRange(0, 3).Draw(t, "fingerprint")),
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(500, 6000).Draw(t, "deadline")) * time.Millisecond),
	}
	f.Ask(m.now, f.requests[id])
}

func (m *machine) giveUp(t *rapid.T, f *front) {
	id := fmt.Sprintf("r%04d", rapid.IntRange(1, m.requestCount+1).Draw(t, "request"))
	if f.Withdraw(id) {
		delete(f.open, id)
	}
}

func (m *machine) endWait(t *rapid.T, f *front) {
	f.EndWait(m.now, fmt.Sprintf("r%04d", rapid.IntRange(1, m.requestCount+1).Draw(t, "request")))
}

func (m *machine) runAny(t *rapid.T, f *front) {
	leases := sortedLeases(f)
	if len(leases) == 0 {
		t.Skip("no lease")
	}
	outcome := rapid.SampledFrom([]message.ReleaseOutcome{
		message.ReleaseOutcomeFinished, message.ReleaseOutcomeFinished, message.ReleaseOutcomeServerCrashed,
		message.ReleaseOutcomeCancelled,
	}).Draw(t, "outcome")
	f.run(t, rapid.SampledFrom(leases).Draw(t, "lease"), outcome)
}

// parkAny parks a dispatched request, as if its grant had been revoked.
func (m *machine) parkAny(t *rapid.T, f *front) {
	leases := sortedLeases(f)
	if len(leases) == 0 {
		t.Skip("no lease")
	}
	l := rapid.SampledFrom(leases).Draw(t, "lease")
	if !l.dispatched {
		f.run(t, l, message.ReleaseOutcomeFinished)
	}
	if l.dispatched {
		f.park(l)
	}
}

func (m *machine) restart(host string) {
	m.startCoordinator(host)
	for _, name := range frontHosts {
		m.fronts[name].HostRestarted(m.now, host)
	}
}

// restartFront restarts a front, which loses its callers, and reports it to the
// coordinators as down.
func (m *machine) restartFront(f *front) {
	m.network = slices.DeleteFunc(m.network, func(p packet) bool { return p.from == f.host || p.to == f.host })
	m.startFront(f.host)
	for _, host := range coordinatorHosts {
		m.states[host].HostDown(m.now, f.host)
	}
}

func (m *machine) advance(ticks int) {
	for range ticks {
		m.now = m.now.Add(50 * time.Millisecond)
		for _, host := range coordinatorHosts {
			if !m.paused[host] {
				m.states[host].Tick(m.now)
			}
		}
		for _, host := range frontHosts {
			m.fronts[host].Tick(m.now)
		}
	}
}

// check checks that the records of each coordinator are consistent.
func (m *machine) check(t *rapid.T) {
	for _, host := range coordinatorHosts {
		s := m.states[host]
		grants := 0
		for _, ps := range s.order {
			held, suspects := 0, 0
			for id, e := range ps.entries {
				grant, _, granted := ps.sched.GrantOf(id)
				waits := ps.sched.IsWaiting(id)
				if states := count(e.held, waits, granted); states != 1 {
					t.Fatalf("%s: %s is in %d states: held %v, waits %v, granted %v", host, id, states, e.held, waits, granted)
				}
				if granted && (grant != e.grant || s.grants[grant] != e) {
					t.Fatalf("%s: %s has grant %s in its entry and %s in the scheduler", host, id, e.grant, grant)
				}
				grants += count(granted)
				held += count(e.held)
				suspects += count(e.suspect)
			}
			if held != len(ps.heldSuspects) || suspects != ps.activeSuspects {
				t.Fatalf("%s: %d held and %d suspects, counted as %d and %d", host, held, suspects, len(ps.heldSuspects), ps.activeSuspects)
			}
		}
		if grants != len(s.grants) {
			t.Fatalf("%s: %d requests hold a grant, but %d grants are known", host, grants, len(s.grants))
		}
	}
}

func count(conditions ...bool) int {
	n := 0
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n
}

// heal ends all faults and checks that every request gets an outcome and that the
// coordinator then has no request or grant on record.
func (m *machine) heal(t *rapid.T) {
	m.paused = map[string]bool{}
	for _, host := range coordinatorHosts {
		m.applyOwnership(host)
	}
	for _, host := range frontHosts {
		f := m.fronts[host]
		f.owner = m.owner
		f.SetTopology(m.now, f)
		f.LinkRestored(m.now, m.owner)
	}
	for round := range 400 {
		m.collect(t)
		packets := m.network
		m.network = nil
		for _, p := range packets {
			m.deliver(p)
		}
		m.collect(t)
		m.check(t)
		for _, host := range frontHosts {
			f := m.fronts[host]
			for _, l := range sortedLeases(f) {
				f.run(t, l, message.ReleaseOutcomeFinished)
			}
			if round%10 == 0 {
				m.heartbeat(f)
			}
		}
		m.advance(1)
	}
	m.checkEmpty(t)
}

func (m *machine) checkEmpty(t *rapid.T) {
	for _, host := range frontHosts {
		if f := m.fronts[host]; len(f.open) > 0 || len(f.leases) > 0 {
			t.Fatalf("%s: requests %v got no outcome, %d leases left", host, f.open, len(f.leases))
		}
	}
	s := m.states[m.owner]
	for _, e := range s.pools[machinePool].entries {
		t.Fatalf("%s: %s was not removed, grant %q", m.owner, e.request.ID, e.grant)
	}
	for _, server := range s.Status()[0].Servers {
		if server.Tokens != 0 || server.Requests != 0 {
			t.Fatalf("%s still counts %d tokens of %d requests", server.Name, server.Tokens, server.Requests)
		}
	}
}

func TestCoordinatorsAndFrontsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		m.heal(t)
	})
}
