package coordinator

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/asker"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

const machinePolicy = `
[policy]
generation = 1

[zone z]

[tier high]
rank = 0

[tier low]
rank = 1

[organisation a]

[organisation b]

[hardware g]
tokens_in_flight = 1000

[model m]

[server s1]
zone = z
address = 127.0.0.1:1
hardware = g
models = m

[server s2]
zone = z
address = 127.0.0.1:2
hardware = g
models = m
`

var (
	machineStart = time.Unix(1_700_000_000, 0)
	machinePool  = message.Pool{Zone: "z", Target: "m"}
)

const machineLifetimeMs = 500

// machine connects two coordinators and two fronts by a network that loses, reorders
// and duplicates frames. The fronts use the package asker.
type machine struct {
	now             time.Time
	policy          *policy.Policy
	owner           string
	states          map[string]*State
	paused          map[string]bool
	lastIncarnation int
	fronts          map[string]*front
	network         []packet
	requestCount    int
}

type packet struct {
	from, to string
	frame    message.Frame
}

// front is an asker with the leases that it was granted.
type front struct {
	*asker.State
	m     *machine
	host  string
	owner string
	// leases are the leases by request; a request gets at most one unless it is parked.
	leases map[string]*machineLease
	// open holds the requests without an outcome. outcomes counts the outcomes and
	// dispatched the dispatches of each request.
	open                 map[string]bool
	outcomes, dispatched map[string]int
	// requests are the requests asked for; parked ones are bound to a server.
	requests map[string]grant.Request
}

type machineLease struct {
	message.Grant
	expiresAt  time.Time
	dispatched bool
	revoked    bool
}

// Pools implements asker.Topology.
func (f *front) Pools(string) []message.Pool { return []message.Pool{machinePool} }

// Coordinator implements asker.Topology.
func (f *front) Coordinator(message.Pool) (string, bool) { return f.owner, true }

// Closed implements asker.Topology.
func (f *front) Closed(message.Pool) bool { return false }

var coordinatorHosts, frontHosts = []string{"c1", "c2"}, []string{"e1", "e2"}

func newMachine(t *rapid.T) *machine {
	p, err := policy.Parse("machine", []byte(machinePolicy))
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{
		now: machineStart, policy: p, owner: "c1",
		states: map[string]*State{}, paused: map[string]bool{}, fronts: map[string]*front{},
	}
	for _, host := range coordinatorHosts {
		m.startCoordinator(host)
	}
	for _, host := range frontHosts {
		m.startFront(host)
	}
	return m
}

func (m *machine) startCoordinator(host string) {
	m.lastIncarnation++
	s := New(Config{Host: host, Zone: "z", Incarnation: m.lastIncarnation, RebuildTime: time.Second, Scheduler: settings.Scheduler{
		Algorithm: settings.SchedulerAlgorithmFair, MaxWaiting: 6, MaxWaitingTokens: 100000,
		GrantLifetimeMs: machineLifetimeMs, GapTargetMs: 33, FirstTokenTargetMs: 1600,
	}})
	s.SetPolicy(m.now, m.policy)
	m.states[host] = s
	m.applyOwnership(host)
}

// applyOwnership makes a host take over or release the pool as m.owner says.
func (m *machine) applyOwnership(host string) {
	var owned []message.Pool
	if m.owner == host {
		owned = append(owned, machinePool)
	}
	m.states[host].SetOwned(m.now, owned)
}

func (m *machine) startFront(host string) {
	f := &front{
		m: m, host: host, owner: m.owner, leases: map[string]*machineLease{},
		open: map[string]bool{}, requests: map[string]grant.Request{}, outcomes: map[string]int{}, dispatched: map[string]int{},
		State: asker.New(asker.Config{
			Patience: 2 * time.Second, RetryDelay: 50 * time.Millisecond, RetryDelayMax: 400 * time.Millisecond,
		}),
	}
	f.SetTopology(m.now, f)
	m.fronts[host] = f
}

// collect puts the frames of all parts on the network.
func (m *machine) collect(t *rapid.T) {
	for _, host := range coordinatorHosts {
		for _, o := range m.states[host].TakeOutput() {
			m.network = append(m.network, packet{host, o.To, o.Frame})
		}
		m.states[host].TakeDecisions()
	}
	for _, host := range frontHosts {
		f := m.fronts[host]
		for _, o := range f.TakeOutput() {
			m.network = append(m.network, packet{host, o.To, o.Frame})
		}
		for _, o := range f.TakeOutcomes() {
			f.recordOutcome(t, o)
		}
	}
}

func (f *front) recordOutcome(t *rapid.T, o asker.Outcome) {
	f.outcomes[o.Request]++
	delete(f.open, o.Request)
	if f.outcomes[o.Request] > 1 {
		t.Fatalf("%s got %d outcomes", o.Request, f.outcomes[o.Request])
	}
	if o.Grant != nil {
		if bound := f.requests[o.Request].Server; bound != "" && bound != o.Grant.Server {
			t.Fatalf("%s was granted on %s, but it is bound to %s", o.Request, o.Grant.Server, bound)
		}
		lifetime := time.Duration(o.Grant.LifetimeMs) * time.Millisecond
		f.leases[o.Request] = &machineLease{Grant: *o.Grant, expiresAt: f.m.now.Add(lifetime)}
	}
}

func (m *machine) deliver(p packet) {
	if f := m.fronts[p.to]; f != nil {
		if revoked := f.Handle(m.now, p.from, &p.frame); revoked != "" {
			for _, l := range f.leases {
				l.revoked = l.revoked || l.Grant.Grant == revoked
			}
		}
		return
	}
	m.states[p.to].Handle(m.now, p.from, &p.frame)
}

// heartbeat sends a front's asks and grants to their coordinators.
func (m *machine) heartbeat(f *front) {
	hosts := f.Coordinators()
	if !slices.Contains(hosts, f.owner) {
		hosts = append(hosts, f.owner)
	}
	for _, host := range hosts {
		asks, grants := f.Heartbeat(host)
		m.network = append(m.network, packet{f.host, host, message.Frame{Heartbeat: &message.Heartbeat{
			Host: f.host, Incarnation: 1, State: message.HeartbeatStateAlive, Reports: true, Asks: asks, Grants: grants,
		}}})
	}
}

// run advances a lease by one step: dispatch, then the end.
func (f *front) run(t *rapid.T, l *machineLease, outcome message.ReleaseOutcome) {
	switch {
	case !l.dispatched && (l.revoked || !f.m.now.Before(l.expiresAt)):
		outcome = message.ReleaseOutcomeUnused
	case !l.dispatched:
		l.dispatched = true
		if f.requests[l.Request].Server == "" {
			f.dispatched[l.Request]++
		}
		if f.dispatched[l.Request] > 1 {
			t.Fatalf("%s was dispatched twice", l.Request)
		}
		f.Dispatched(f.m.now, l.Grant.Grant)
		return
	case l.revoked && outcome == message.ReleaseOutcomeCancelled:
		f.park(l)
		return
	}
	delete(f.leases, l.Request)
	f.Release(message.Release{Grant: l.Grant.Grant, Outcome: outcome, PromptTokens: 100, OutputTokens: 10, FirstTokenMs: 10, TotalMs: 50})
}

// park releases a revoked lease and asks again, bound to the server that holds the
// request.
func (f *front) park(l *machineLease) {
	delete(f.leases, l.Request)
	f.Release(message.Release{Grant: l.Grant.Grant, Outcome: message.ReleaseOutcomeParked, PromptTokens: 100, OutputTokens: 5})
	r := f.requests[l.Request]
	r.Server, r.Zone, r.PromptTokens, r.OutputTokens = l.Server, machinePool.Zone, 0, 20
	f.requests[l.Request] = r
	f.open[l.Request] = true
	f.outcomes[l.Request]--
	f.Ask(f.m.now, r)
}

func sortedLeases(f *front) []*machineLease {
	var leases []*machineLease
	for _, l := range f.leases {
		leases = append(leases, l)
	}
	slices.SortFunc(leases, func(a, b *machineLease) int { return slices.Compare([]string{a.Request}, []string{b.Request}) })
	return leases
}
