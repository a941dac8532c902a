package placement

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

// rolloutPolicy returns a policy with a version of model m0 on four servers of zone
// a, every second of which checks fencing numbers. keys holds further lines of the
// model's section.
func rolloutPolicy(t testing.TB, generation int, version, keys string) *policy.Policy {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\ngeneration = %d\nweight_loads_per_minute = 600\n[zone a]\n[tier t]\nrank = 0\n", generation)
	fmt.Fprintf(&b, "[model m0]\nreplicas = 4\nversion = %s\nload_timeout_ms = 30000\n%s\n", version, keys)
	for i := range 4 {
		fmt.Fprintf(&b, "[server a%d]\nzone = a\naddress = 127.0.0.1:%d\nmodels = m0\nchecks_fencing = %v\n", i, 1000+i, i%2 == 0)
	}
	p, err := policy.Parse("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// rolloutSim runs one coordinator and four engines that load without delay.
type rolloutSim struct {
	t             *testing.T
	state         *State
	now           time.Time
	in            Inputs
	brokenVersion string
	// minAccepting is the lowest number of servers that accepted new work at any
	// tick. orders holds all orders so far.
	minAccepting int
	orders       []Order
}

func newRolloutSim(t *testing.T, p *policy.Policy, version string) *rolloutSim {
	r := &rolloutSim{t: t, state: NewState(testConfig), now: epoch, in: idleServers(p), minAccepting: len(p.Servers)}
	for name, server := range r.in.Servers {
		server.Loaded = map[string]string{"m0": version}
		r.in.Servers[name] = server
	}
	return r
}

// run ticks once per second. A server is drained one second after the drain was
// requested, unless it runs work.
func (r *rolloutSim) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		draining := map[string]bool{}
		for _, d := range r.state.Drains() {
			draining[d.Server] = true
		}
		accepting := 0
		for name, server := range r.in.Servers {
			server.ReportedAt = r.now
			server.Drained = map[string]bool{"m0": draining[name] && server.RunningRank == IdleRank}
			r.in.Servers[name] = server
			if _, loaded := server.Loaded["m0"]; loaded && !draining[name] {
				accepting++
			}
		}
		r.minAccepting = min(r.minAccepting, accepting)
		for _, o := range r.state.Tick(r.now, r.in) {
			r.orders = append(r.orders, o)
			r.state.HandleResult(r.now, o, r.handleOrder(o))
		}
	}
}

func (r *rolloutSim) handleOrder(o Order) Result {
	server := r.in.Servers[o.Server]
	if _, loaded := server.Loaded["m0"]; loaded && !server.Drained["m0"] {
		r.t.Errorf("%v before the server was drained", o)
	}
	if o.Version == r.brokenVersion {
		return ResultRejected
	}
	server.Loaded = map[string]string{"m0": o.Version}
	r.in.Servers[o.Server] = server
	return ResultDone
}

// versions returns the number of servers by version.
func (r *rolloutSim) versions() map[string]int {
	counts := map[string]int{}
	for _, server := range r.in.Servers {
		counts[server.Loaded["m0"]]++
	}
	return counts
}

func (r *rolloutSim) want(versions map[string]int, minAccepting int) {
	r.t.Helper()
	if got := r.versions(); !maps.Equal(got, versions) {
		r.t.Errorf("versions %v, want %v", got, versions)
	}
	if r.minAccepting < minAccepting {
		r.t.Errorf("%d servers took new work at some time, want at least %d", r.minAccepting, minAccepting)
	}
}

func TestVersionIsRolledOutAndBack(t *testing.T) {
	for _, unavailable := range []int{1, 2} {
		keys := fmt.Sprintf("max_unavailable = %d", unavailable)
		r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", keys), "v1")
		r.run(2 * time.Minute)
		r.want(map[string]int{"v2": 4}, 4-unavailable)
		if got := r.state.Rollouts(); len(got) != 1 || !got[0].Done() || got[0].Current != 4 {
			t.Errorf("rollouts %+v", got)
		}
		r.in.Policy = rolloutPolicy(t, 4, "v1", keys)
		r.run(2 * time.Minute)
		r.want(map[string]int{"v1": 4}, 4-unavailable)
		if len(r.orders) != 8 {
			t.Errorf("orders %v, want 4 forward and 4 back", r.orders)
		}
	}
}

func TestRunningWorkDelaysVersionChange(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", ""), "v1")
	for _, name := range []string{"a1", "a3"} {
		server := r.in.Servers[name]
		server.RunningRank = 0
		r.in.Servers[name] = server
	}
	r.run(5 * time.Minute)
	r.want(map[string]int{"v1": 2, "v2": 2}, 3)
	for name, server := range r.in.Servers {
		server.RunningRank = IdleRank
		r.in.Servers[name] = server
	}
	r.run(time.Minute)
	r.want(map[string]int{"v2": 4}, 3)
}

func TestBrokenVersionStopsUntilTheModelChanges(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", "max_unavailable = 3"), "v1")
	r.brokenVersion = "v2"
	r.run(10 * time.Minute)
	r.want(map[string]int{"v1": 4}, 3)
	if len(r.orders) != maxLoadFailures {
		t.Errorf("orders %v, want %d", r.orders, maxLoadFailures)
	}
	if got := r.state.Rollouts(); len(got) != 1 || !got[0].Stopped || got[0].Failures != maxLoadFailures {
		t.Errorf("rollouts %+v", got)
	}
	r.in.Policy = rolloutPolicy(t, 4, "v2", "max_unavailable = 3")
	r.run(time.Minute)
	if len(r.orders) != maxLoadFailures {
		t.Errorf("a policy with the same section of the model resumed the rollout: %v", r.orders)
	}
	r.in.Policy = rolloutPolicy(t, 5, "v3", "max_unavailable = 3")
	r.run(2 * time.Minute)
	if got := r.versions(); got["v3"] != 4 {
		t.Errorf("versions %v after the policy changed", got)
	}
}

// A server loses its model when a load fails. The server must be ordered to load the
// old version, and no other server may change to the new version meanwhile.
func TestServerThatLosesItsModelGetsTheOldVersionBack(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", ""), "v1")
	r.brokenVersion = "v2"
	for len(r.orders) == 0 {
		r.run(time.Second)
	}
	server := r.in.Servers[r.orders[0].Server]
	server.Loaded = map[string]string{}
	r.in.Servers[r.orders[0].Server] = server
	r.run(5 * time.Minute)
	r.want(map[string]int{"v1": 4}, 3)
	for _, o := range r.orders {
		if o.Server != r.orders[0].Server {
			t.Errorf("order %v while %s lacked the model", o, r.orders[0].Server)
		}
	}
}

func TestLoadTimeoutFailsTheLoad(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", ""), "v1")
	for len(r.orders) == 0 {
		r.run(time.Second)
	}
	server := r.in.Servers[r.orders[0].Server]
	server.Loaded = map[string]string{}
	r.in.Servers[r.orders[0].Server] = server
	r.run(29 * time.Second)
	if len(r.orders) != 1 || r.state.Rollouts()[0].Failures != 0 {
		t.Errorf("within the timeout: orders %v, %+v", r.orders, r.state.Rollouts())
	}
	r.run(5 * time.Second)
	if len(r.orders) < 2 || r.orders[1].Server != r.orders[0].Server {
		t.Errorf("after the timeout: orders %v", r.orders)
	}
}

func TestMinorityChangesNoVersion(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", ""), "v1")
	r.in.Majority = false
	r.run(5 * time.Minute)
	r.want(map[string]int{"v1": 4}, 4)
}

// An earlier coordinator may have drained servers until just before the takeover, so
// the new one must not drain any until those drains have expired.
func TestNewCoordinatorWaitsOutOldDrains(t *testing.T) {
	r := newRolloutSim(t, rolloutPolicy(t, 3, "v2", ""), "v1")
	r.run(testCoordinatorLifetime + testDrainLifetime)
	if draining := r.state.Drains(); len(draining) > 0 || len(r.orders) > 0 {
		t.Errorf("before the old drains expired: draining %v, orders %v", draining, r.orders)
	}
	r.run(time.Second)
	if draining := r.state.Drains(); len(draining) != 1 {
		t.Errorf("draining %v after the old drains expired, want one server", draining)
	}
}
