package asker

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/coordinator"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/rapidtest"
	"mimosafront/internal/settings"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, rapidtest.Config{Checks: 60})) }

const machinePolicy = `
[policy]
generation = 1
[zone a]
[zone b]
[tier high]
rank = 0
[tier low]
rank = 1
[organisation north]
[organisation south]
[caller n1]
organisation = north
key_sha256 = 19551d6cc32c653eecb67ce2a39d7b3f442dad14f60165fc8efb69977f7964c8
[hardware h]
[model m]
[server a1]
zone = a
kind = engine
address = 127.0.0.1:1
hardware = h
models = m
max_requests = 3
[server b1]
zone = b
kind = engine
address = 127.0.0.1:2
hardware = h
models = m
max_requests = 3
`

const (
	machineStep     = 20 * time.Millisecond
	machineLifetime = 500 * time.Millisecond
)

var (
	poolA = message.Pool{Zone: "a", Target: "m"}
	poolB = message.Pool{Zone: "b", Target: "m"}
)

// front is one asker with the requests that it serves.
type front struct {
	state         *State
	topology      staticTopology
	asked         map[string]bool
	requests      map[string]grant.Request
	ended         map[string]bool
	granted       map[string]bool
	paused        bool
	nextHeartbeat time.Time
}

// machine connects two fronts and three coordinators by a network that loses,
// duplicates, delays and reorders frames.
type machine struct {
	t            *rapid.T
	now          time.Time
	policy       *policy.Policy
	fronts       map[string]*front
	coordinators map[string]*coordinator.State
	owned        map[string][]message.Pool
	leaving      map[string]bool
	// settled is set once all faults have ended and nothing waits.
	settled         bool
	lastIncarnation int
	delivered       map[string]bool
	network         []packet
	loss            int
	maxDelay        int
	// oldFront makes f2 an older front without support for Redirect.Kept and Ask.Moves.
	oldFront     bool
	requestCount int
}

func newMachine(t *rapid.T) *machine {
	p, err := policy.Parse("policy", []byte(machinePolicy))
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{
		t: t, now: time.Unix(1_700_000_000, 0), policy: p,
		delivered: map[string]bool{},
		fronts:    map[string]*front{}, coordinators: map[string]*coordinator.State{},
		owned:    map[string][]message.Pool{"c1": {poolA}, "c2": nil, "c3": {poolB}},
		loss:     rapid.IntRange(0, 25).Draw(t, "loss"),
		maxDelay: rapid.IntRange(0, 5).Draw(t, "max delay"),
		oldFront: rapid.Bool().Draw(t, "old front"),
	}
	for _, name := range []string{"f1", "f2"} {
		f := &front{
			state:    New(Config{Patience: 2 * time.Second, RetryDelay: machineStep, RetryDelayMax: 320 * time.Millisecond}),
			topology: staticTopology{poolA: "c1", poolB: "c3"},
			asked:    map[string]bool{}, requests: map[string]grant.Request{}, ended: map[string]bool{}, granted: map[string]bool{},
		}
		f.state.SetTopology(m.now, f.topology)
		m.fronts[name] = f
	}
	for name := range m.owned {
		m.restart(name)
	}
	return m
}

func (m *machine) restart(name string) {
	m.lastIncarnation++
	c := coordinator.New(coordinator.Config{
		Host: name, Zone: m.zone(name), Incarnation: m.lastIncarnation, Seed: 1, RebuildTime: time.Second,
		Scheduler: settings.Scheduler{
			Algorithm: settings.SchedulerAlgorithmFair, MaxWaiting: 100, MaxWaitingTokens: 1 << 20,
			GrantLifetimeMs: int(machineLifetime.Milliseconds()), GapTargetMs: 33, FirstTokenTargetMs: 1600,
		},
	})
	c.SetPolicy(m.now, m.policy)
	m.coordinators[name] = c
	m.applyOwnership(name)
}

// applyOwnership passes to a coordinator its pools, the coordinator of the other zone's
// pool, and the servers that take no work.
func (m *machine) applyOwnership(name string) {
	c := m.coordinators[name]
	c.SetOwned(m.now, m.owned[name])
	c.SetLeaving(m.now, m.leaving)
	siblings := map[message.Pool][]string{poolB: {"c1"}, poolA: {"c3"}}
	if len(m.owned["c2"]) > 0 {
		siblings[poolB] = []string{"c2"}
	}
	c.SetSiblings(m.now, siblings)
}

// setLeaving sets the servers that take no work.
func (m *machine) setLeaving(servers map[string]bool) {
	m.leaving = servers
	for _, name := range []string{"c1", "c2", "c3"} {
		m.applyOwnership(name)
	}
}

func (m *machine) zone(coordinator string) string {
	if coordinator == "c3" {
		return "b"
	}
	return "a"
}

func (m *machine) ask(front string) {
	m.requestCount++
	id := fmt.Sprintf("%s-r%d", front, m.requestCount)
	f := m.fronts[front]
	f.asked[id] = true
	f.requests[id] = grant.Request{
		ID: id, Target: "m", Organisation: rapid.SampledFrom([]string{"north", "south"}).Draw(m.t, "organisation"),
		Caller: "n1", Tier: rapid.IntRange(0, 1).Draw(m.t, "tier"), PromptTokens: 50, OutputTokens: 20,
		Arrived: m.now, Deadline: m.now.Add(20 * time.Second),
	}
	f.state.Ask(m.now, f.requests[id])
	m.collect()
}

func (m *machine) advance(steps int) {
	for range steps {
		m.now = m.now.Add(machineStep)
		m.deliver()
		for _, name := range []string{"f1", "f2"} {
			m.tickFront(name)
		}
		for _, name := range []string{"c1", "c2", "c3"} {
			m.coordinators[name].Tick(m.now)
		}
		m.collect()
	}
}

func (m *machine) tickFront(name string) {
	f := m.fronts[name]
	if f.paused {
		return
	}
	f.state.Tick(m.now)
	for _, id := range f.state.Expired(m.now) {
		f.state.Release(message.Release{Grant: id, Outcome: message.ReleaseOutcomeUnused})
		delete(f.granted, id)
	}
	if m.now.Before(f.nextHeartbeat) {
		return
	}
	f.nextHeartbeat = m.now.Add(200 * time.Millisecond)
	for _, host := range []string{"c1", "c2", "c3"} {
		asks, grants := f.state.Heartbeat(host)
		m.transmit(name, host, message.Frame{Heartbeat: &message.Heartbeat{
			Host: name, Incarnation: 1, State: message.HeartbeatStateAlive, Reports: true, Asks: asks, Grants: grants,
		}})
	}
}

func (m *machine) collect() {
	for _, name := range []string{"f1", "f2"} {
		f := m.fronts[name]
		if f.paused {
			continue
		}
		for _, o := range f.state.TakeOutput() {
			m.transmit(name, o.To, o.Frame)
		}
		m.takeOutcomes(f)
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		for _, o := range m.coordinators[name].TakeOutput() {
			m.transmit(name, o.To, o.Frame)
		}
	}
}

// takeOutcomes checks the outcomes of a front. The control loop likewise handles
// outcomes before it applies a revocation.
func (m *machine) takeOutcomes(f *front) {
	for _, o := range f.state.TakeOutcomes() {
		m.outcome(f, o)
	}
}

// outcome checks that each request ends once and that each grant serves one request.
func (m *machine) outcome(f *front, o Outcome) {
	if !f.asked[o.Request] {
		m.t.Fatalf("an outcome for %s, which was not waiting", o.Request)
	}
	if f.ended[o.Request] {
		m.t.Fatalf("a second outcome for %s", o.Request)
	}
	f.ended[o.Request] = true
	if o.Grant == nil {
		if m.settled {
			m.t.Fatalf("%s ended with %v while zone b takes work", o.Request, o.Err)
		}
		return
	}
	if m.delivered[o.Grant.Grant] {
		m.t.Fatalf("grant %s was delivered twice", o.Grant.Grant)
	}
	m.delivered[o.Grant.Grant] = true
	if bound := f.requests[o.Request].Server; bound != "" && bound != o.Grant.Server {
		m.t.Fatalf("%s was granted on %s, but it is bound to %s", o.Request, o.Grant.Server, bound)
	}
	f.granted[o.Grant.Grant] = true
	if rapid.Bool().Draw(m.t, "dispatch") {
		f.state.Dispatched(m.now, o.Grant.Grant)
	}
}

func (m *machine) release(f *front, id string, outcome message.ReleaseOutcome) {
	f.state.Release(message.Release{Grant: id, Outcome: outcome})
	delete(f.granted, id)
}

// revoke ends a revoked grant. A dispatched request may be parked.
func (m *machine) revoke(f *front, id string) {
	if f.state.grants[id].HeldGrant.Dispatched && rapid.Bool().Draw(m.t, "park") {
		m.park(f, id)
		return
	}
	m.release(f, id, message.ReleaseOutcomeRevoked)
}

// park releases a grant and asks again, bound to the server that holds the request.
func (m *machine) park(f *front, id string) {
	h := f.state.grants[id]
	m.release(f, id, message.ReleaseOutcomeParked)
	r := f.requests[h.Request]
	r.Server, r.Zone, r.PromptTokens, r.OutputTokens = h.Server, h.Pool.Zone, 0, 10
	f.requests[h.Request], f.ended[h.Request] = r, false
	f.state.Ask(m.now, r)
}

func (m *machine) releaseAll(f *front) {
	for _, id := range sortedKeys(f.granted) {
		m.release(f, id, message.ReleaseOutcomeFinished)
	}
}

// moveOwnership makes the other host of zone a the coordinator of its pool. The
// topology of each front changes separately, in updateTopology.
func (m *machine) moveOwnership() {
	from, to := "c1", "c2"
	if len(m.owned["c2"]) > 0 {
		from, to = to, from
	}
	m.owned[from], m.owned[to] = nil, []message.Pool{poolA}
	for _, name := range []string{from, to, "c3"} {
		m.applyOwnership(name)
	}
}

func (m *machine) updateTopology(name string) {
	f := m.fronts[name]
	if f.paused {
		return
	}
	f.topology = staticTopology{poolB: "c3"}
	for host, pools := range m.owned {
		if host != "c3" && len(pools) > 0 {
			f.topology[poolA] = host
		}
	}
	f.state.SetTopology(m.now, f.topology)
}

func (m *machine) resume(name string) {
	f := m.fronts[name]
	if !f.paused {
		return
	}
	f.paused = false
	for _, id := range f.state.Undispatched() {
		m.release(f, id, message.ReleaseOutcomeUnused)
	}
	f.state.ReaskAll(m.now)
}

// settle ends all faults and checks that no request or grant is left anywhere.
func (m *machine) settle() {
	m.loss, m.maxDelay = 0, 0
	m.setLeaving(nil)
	for _, name := range []string{"f1", "f2"} {
		m.resume(name)
		m.updateTopology(name)
	}
	for range 60 {
		m.advance(25)
		for _, f := range m.fronts {
			m.releaseAll(f)
		}
	}
	for _, name := range []string{"f1", "f2"} {
		f := m.fronts[name]
		if f.state.Waiting()+f.state.Held() > 0 {
			m.t.Fatalf("%s: %d requests and %d grants are left at the end", name, f.state.Waiting(), f.state.Held())
		}
		for id := range f.asked {
			if !f.ended[id] {
				m.t.Fatalf("%s got no outcome", id)
			}
		}
	}
	m.settled = true
	m.checkZoneWithoutServers()
	m.advance(100)
	for name, c := range m.coordinators {
		for _, pool := range c.Status() {
			for _, q := range pool.Queues {
				if q.Waiting+q.Running > 0 {
					m.t.Fatalf("%s counts %d waiting and %d running at the end", name, q.Waiting, q.Running)
				}
			}
		}
	}
}

// checkZoneWithoutServers queues requests, takes the servers of zone a out of service,
// and checks that zone b grants all requests before zone a would refuse those that wait
// there.
func (m *machine) checkZoneWithoutServers() {
	for range 12 {
		m.ask("f1")
		m.advance(1)
	}
	m.setLeaving(map[string]bool{"a1": true})
	for range 95 {
		m.advance(1)
		m.releaseAll(m.fronts["f1"])
	}
	for id := range m.fronts["f1"].asked {
		if !m.fronts["f1"].ended[id] {
			m.t.Fatalf("%s still waits in zone a, which has no servers", id)
		}
	}
}

func TestAskersAndCoordinators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		pick := rapid.SampledFrom([]string{"f1", "f2"})
		on := func(f func(t *rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) { m.t = t; f(t) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": on(func(t *rapid.T) { m.advance(rapid.IntRange(1, 30).Draw(t, "steps")) }),
			"ask": on(func(t *rapid.T) {
				if name := pick.Draw(t, "front"); !m.fronts[name].paused {
					m.ask(name)
				}
			}),
			"withdraw": on(func(t *rapid.T) {
				f := m.fronts[pick.Draw(t, "front")]
				for _, id := range sortedKeys(f.state.asks) {
					f.state.Withdraw(id)
					f.ended[id] = true
					return
				}
			}),
			"end wait": on(func(t *rapid.T) {
				f := m.fronts[pick.Draw(t, "front")]
				for _, id := range sortedKeys(f.state.asks) {
					f.state.EndWait(m.now, id)
					return
				}
			}),
			"release": on(func(t *rapid.T) {
				if f := m.fronts[pick.Draw(t, "front")]; !f.paused {
					m.releaseAll(f)
				}
			}),
			"park": on(func(t *rapid.T) {
				name := pick.Draw(t, "front")
				f := m.fronts[name]
				if !f.paused && len(f.granted) == 0 {
					m.ask(name)
					m.advance(4)
				}
				if ids := sortedKeys(f.granted); !f.paused && len(ids) > 0 {
					f.state.Dispatched(m.now, ids[0])
					m.park(f, ids[0])
				}
			}),
			"leave": on(func(t *rapid.T) {
				m.setLeaving(map[string]bool{rapid.SampledFrom([]string{"a1", "b1", "none"}).Draw(t, "server"): true})
			}),
			"move":    on(func(*rapid.T) { m.moveOwnership() }),
			"learn":   on(func(t *rapid.T) { m.updateTopology(pick.Draw(t, "front")) }),
			"restart": on(func(t *rapid.T) { m.restart(rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "host")) }),
			"pause":   on(func(t *rapid.T) { m.fronts[pick.Draw(t, "front")].paused = true }),
			"wake":    on(func(t *rapid.T) { m.resume(pick.Draw(t, "front")) }),
		})
		m.t = t
		m.settle()
	})
}
