package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/policy"
)

// zoneSim simulates three hosts of one availability zone, and engines with and
// without fencing checks. On each host, the coordinator is the lowest-numbered host
// in its view.
type zoneSim struct {
	now      time.Time
	hosts    []*zoneHost
	engines  map[string]*zoneEngine
	inFlight []delivery
	// published is the newest policy; it reaches the hosts one by one.
	published *policy.Policy
}

type zoneHost struct {
	state  *State
	paused bool
	// reach holds the hosts that this host can reach; view holds those that its
	// failure detector reports as reachable. detectAt is when a change of reach
	// is applied to view.
	view     [3]bool
	reach    [3]bool
	detectAt [3]time.Time
	policy   *policy.Policy
	// drainsReportedUntil is when the host stops reporting its drains to the
	// engines, failureDelay after the last one ended.
	drainsReportedUntil time.Time
}

// zoneEngine is a simulated engine. Without fencing checks, it records whether
// fencing numbers went backwards.
type zoneEngine struct {
	checksFencing  bool
	highestFencing int
	loaded         map[string]string
	outOfOrder     bool
	// running is true while the engine runs requests. drainedBy is the index of
	// the host that drains it, as reported at drainedAt, or -1.
	running   bool
	drainedBy int
	drainedAt time.Time
	// report is the last report, read at reportAt.
	report   map[string]string
	reportAt time.Time
	// loading holds the versions that are loading until readyAt.
	loading map[string]string
	readyAt time.Time
	// changedWhileRunning is an order that changed the version of a model while
	// requests ran.
	changedWhileRunning *Order
}

// drained reports whether the engine gets no new work.
func (e *zoneEngine) drained(now time.Time) bool { return now.Sub(e.drainedAt) < testDrainLifetime }

// delivery is an order in flight, which takes effect at due unless it is lost.
type delivery struct {
	due   time.Time
	host  int
	order Order
	lost  bool
}

// Failure detection in the simulated zone: a host notices a failure after
// failureDelay and a recovery after recoveryDelay. simStep is one simulation step.
const (
	failureDelay  = 5 * time.Second
	recoveryDelay = 1500 * time.Millisecond
	simStep       = 500 * time.Millisecond
)

func newZoneSim(p *policy.Policy) *zoneSim {
	z := &zoneSim{published: p, now: epoch, engines: map[string]*zoneEngine{}}
	for range 3 {
		all := [3]bool{true, true, true}
		z.hosts = append(z.hosts, &zoneHost{state: NewState(testConfig), view: all, reach: all, policy: p})
	}
	for name, server := range p.Servers {
		if server.Zone == "a" {
			z.engines[name] = &zoneEngine{checksFencing: server.ChecksFencing, loaded: map[string]string{}, loading: map[string]string{}, drainedBy: -1}
		}
	}
	return z
}

// setReach sets the hosts that a host can reach and schedules the change of its view.
func (z *zoneSim) setReach(i int, reach [3]bool) {
	h := z.hosts[i]
	for j := range reach {
		switch {
		case h.reach[j] == reach[j]:
		case reach[j]:
			h.detectAt[j] = z.now.Add(recoveryDelay)
		default:
			h.detectAt[j] = z.now.Add(failureDelay)
		}
	}
	h.reach = reach
}

// updateView applies the changes of reachability that are due at a host.
func (z *zoneSim) updateView(h *zoneHost) {
	for j := range h.view {
		if !z.now.Before(h.detectAt[j]) {
			h.view[j] = h.reach[j]
		}
	}
}

// setReachability sets which hosts reach each other.
func (z *zoneSim) setReachability(reaches func(i, j int) bool) {
	for i := range z.hosts {
		var reach [3]bool
		for j := range z.hosts {
			reach[j] = i == j || !z.hosts[j].paused && reaches(i, j)
		}
		z.setReach(i, reach)
	}
}

func (z *zoneSim) inputs(i int) Inputs {
	in := Inputs{Policy: z.hosts[i].policy, Servers: map[string]Server{}}
	reached := 0
	for _, reach := range z.hosts[i].view {
		if reach {
			reached++
		}
	}
	in.Majority = reached >= 2
	in.Owner = true
	for j := range i {
		in.Owner = in.Owner && !z.hosts[i].view[j]
	}
	for name, engine := range z.engines {
		server := Server{Live: true, LoadedKnown: true, RunningRank: IdleRank, Loaded: engine.report, ReportedAt: engine.reportAt}
		fresh := engine.drainedBy == i && z.now.Sub(engine.drainedAt) <= simStep
		server.Drained = map[string]bool{"m0": fresh && !engine.running}
		in.Servers[name] = server
	}
	return in
}

func (z *zoneSim) advance(t *rapid.T, steps int) {
	for range steps {
		z.now = z.now.Add(simStep)
		z.simulateWork(t)
		z.gossip()
		for i, h := range z.hosts {
			if h.paused {
				continue
			}
			z.updateView(h)
			z.reportDrains(i)
			for _, o := range h.state.Tick(z.now, z.inputs(i)) {
				delay := time.Duration(rapid.IntRange(0, 9000).Draw(t, "delay ms")) * time.Millisecond
				z.inFlight = append(z.inFlight, delivery{due: z.now.Add(delay), host: i, order: o, lost: rapid.IntRange(0, 9).Draw(t, "lost") == 0})
			}
		}
		z.deliver()
	}
}

func (z *zoneSim) deliver() {
	var undelivered []delivery
	for _, d := range z.inFlight {
		if z.now.Before(d.due) {
			undelivered = append(undelivered, d)
			continue
		}
		result := ResultFailed
		if !d.lost {
			result = z.engines[d.order.Server].handleOrder(z.now, d.order)
		}
		if h := z.hosts[d.host]; !h.paused {
			h.state.HandleResult(z.now, d.order, result)
		}
	}
	z.inFlight = undelivered
}

func (e *zoneEngine) handleOrder(now time.Time, o Order) Result {
	if o.Fencing < e.highestFencing {
		if e.checksFencing {
			return ResultFenced
		}
		e.outOfOrder = true
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	if _, loaded := e.loaded[o.Model]; loaded && e.running && o.Version != "" {
		e.changedWhileRunning = &o
	}
	delete(e.loaded, o.Model)
	switch {
	case strings.HasPrefix(o.Version, brokenPrefix):
		return ResultRejected
	case o.Action == ActionLoad && o.Version != "":
		e.loading[o.Model], e.readyAt = o.Version, now.Add(versionLoadTime)
	case o.Action == ActionLoad:
		e.loaded[o.Model] = ""
	}
	return ResultDone
}

// The engines drop a model when they reject a broken version, and take
// versionLoadTime to load another one. They report at least every maxReportAge.
const (
	brokenPrefix    = "broken"
	versionLoadTime = 4 * time.Second
	maxReportAge    = 3 * time.Second
)

// simulateWork completes loads, starts and ends requests, and refreshes reports.
func (z *zoneSim) simulateWork(t *rapid.T) {
	chances := rapid.Uint32().Draw(t, "work")
	for _, name := range slices.Sorted(maps.Keys(z.engines)) {
		e := z.engines[name]
		chance := chances & 7
		chances >>= 3
		if len(e.loading) > 0 && !z.now.Before(e.readyAt) {
			maps.Copy(e.loaded, e.loading)
			clear(e.loading)
		}
		if _, loaded := e.loaded["m0"]; loaded && chance&1 != 0 && !e.drained(z.now) {
			e.running = true
		} else if chance&2 != 0 {
			e.running = false
		}
		if chance&4 != 0 || z.now.Sub(e.reportAt) >= maxReportAge {
			e.report, e.reportAt = maps.Clone(e.loaded), z.now
		}
	}
}

// gossip spreads the newest policy from the platform to the first host, and among
// hosts that reach each other.
func (z *zoneSim) gossip() {
	if !z.hosts[0].paused {
		z.hosts[0].policy = z.published
	}
	for i, h := range z.hosts {
		for j, other := range z.hosts {
			if !h.paused && !other.paused && h.reach[j] && other.reach[i] && other.policy.Generation > h.policy.Generation {
				h.policy = other.policy
			}
		}
	}
}

// reportDrains applies the drains of a host to the engines.
func (z *zoneSim) reportDrains(i int) {
	drained := map[string]bool{}
	for _, d := range z.hosts[i].state.Drains() {
		drained[d.Server] = true
	}
	if len(drained) > 0 {
		z.hosts[i].drainsReportedUntil = z.now.Add(failureDelay)
	}
	for name, e := range z.engines {
		switch {
		case drained[name]:
			e.drainedBy, e.drainedAt = i, z.now
		case e.drainedBy == i && z.now.Before(z.hosts[i].drainsReportedUntil):
			e.drainedBy, e.drainedAt = -1, time.Time{}
		}
	}
}

// hostFaults returns the rapid actions that advance time and inject faults of hosts.
func (z *zoneSim) hostFaults() map[string]func(*rapid.T) {
	cut := -1
	reaches := func(i, j int) bool { return cut < 0 || (i == cut) == (j == cut) }
	return map[string]func(*rapid.T){
		"pass":      func(t *rapid.T) { z.advance(t, rapid.IntRange(1, 20).Draw(t, "steps")) },
		"pass long": func(t *rapid.T) { z.advance(t, 100) },
		"pause": func(t *rapid.T) {
			z.hosts[rapid.IntRange(0, 2).Draw(t, "host")].paused = true
			z.setReachability(reaches)
		},
		"wake": func(t *rapid.T) {
			for _, h := range z.hosts {
				h.paused = false
			}
			z.setReachability(reaches)
		},
		"cut": func(t *rapid.T) {
			cut = rapid.IntRange(-1, 2).Draw(t, "host")
			z.setReachability(reaches)
		},
	}
}

// TestOverlappingCoordinatorsKeepFencingOrder pauses and partitions hosts. No engine
// that ignores fencing numbers gets an order with a lower number than an earlier one.
func TestOverlappingCoordinatorsKeepFencingOrder(t *testing.T) {
	p := testPolicy(t, 4, 3, 60)
	rapid.Check(t, func(t *rapid.T) {
		z := newZoneSim(p)
		actions := z.hostFaults()
		maps.Copy(actions, map[string]func(*rapid.T){
			"engine loses its models": func(t *rapid.T) {
				for _, engine := range z.engines {
					clear(engine.loaded)
				}
			},
			"": z.checkFencingOrder,
		})
		t.Repeat(actions)
	})
}

func (z *zoneSim) checkFencingOrder(t *rapid.T) {
	for name, engine := range z.engines {
		if engine.outOfOrder {
			t.Fatalf("%s, which ignores fencing numbers, got an order with a lower fencing number than the one before", name)
		}
	}
}

// TestOverlappingCoordinatorsKeepReplicas publishes versions, some of which fail to
// load, while hosts pause and are partitioned. At most one engine stops taking work
// at a time, and none changes its version while requests run.
func TestOverlappingCoordinatorsKeepReplicas(t *testing.T) {
	policies := make([]*policy.Policy, 20)
	for i := range policies {
		version := fmt.Sprint("v", i)
		if i%3 == 2 {
			version = fmt.Sprint(brokenPrefix, i)
		}
		policies[i] = rolloutPolicy(t, i+3, version, "")
	}
	rapid.Check(t, func(t *rapid.T) {
		z := newZoneSim(policies[0])
		for _, e := range z.engines {
			e.loaded["m0"] = "v0"
		}
		actions := z.hostFaults()
		next := 1
		actions["publish"] = func(t *rapid.T) {
			z.published = policies[next%len(policies)]
			next = min(next+1, len(policies)-1)
		}
		actions[""] = func(t *rapid.T) {
			z.checkFencingOrder(t)
			z.checkReplicas(t)
		}
		t.Repeat(actions)
	})
}

func (z *zoneSim) checkReplicas(t *rapid.T) {
	accepting := 0
	for name, e := range z.engines {
		if e.changedWhileRunning != nil {
			t.Fatalf("%s changed its version while requests ran: %v", name, e.changedWhileRunning)
		}
		if _, loaded := e.loaded["m0"]; loaded && !e.drained(z.now) {
			accepting++
		}
	}
	if accepting < len(z.engines)-1 {
		t.Fatalf("%d of %d engines take new work", accepting, len(z.engines))
	}
}
