package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

var epoch = time.UnixMilli(1_800_000_000_000)

const (
	testCoordinatorLifetime = 20 * time.Second
	testMaxPause            = 2 * time.Second
	testAbsenceGrace        = time.Minute
	testOrderTimeout        = 10 * time.Second
	testDrainLifetime       = 12 * time.Second
)

var testConfig = Config{
	Zone: "a", CoordinatorLifetime: testCoordinatorLifetime, MaxPause: testMaxPause,
	AbsenceGrace: testAbsenceGrace, DrainLifetime: testDrainLifetime, OrderTimeout: testOrderTimeout,
}

// testPolicy returns a policy with servers in zones a and b, every second of which
// checks fencing numbers, and with models of two replicas each.
func testPolicy(t testing.TB, servers, models int, loadsPerMinute float64) *policy.Policy {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\ngeneration = 3\nweight_loads_per_minute = %v\n[zone a]\n[zone b]\n[tier t]\nrank = 0\n[hardware g]\n", loadsPerMinute)
	var names []string
	for i := range models {
		fmt.Fprintf(&b, "[model m%d]\nreplicas = 2\n", i)
		names = append(names, fmt.Sprint("m", i))
	}
	for _, zone := range []string{"a", "b"} {
		for i := range servers {
			fmt.Fprintf(&b, "[server %s%d]\nzone = %s\naddress = 127.0.0.1:%d\nhardware = g\nmodels = %s\nchecks_fencing = %v\n",
				zone, i, zone, 1000+i, strings.Join(names, ","), i%2 == 0)
		}
	}
	p, err := policy.Parse("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// idleServers returns inputs in which all servers of zone a are live and idle and
// have nothing loaded.
func idleServers(p *policy.Policy) Inputs {
	in := Inputs{Policy: p, Owner: true, Majority: true, Servers: map[string]Server{}}
	for name, server := range p.Servers {
		if server.Zone == "a" {
			in.Servers[name] = Server{Live: true, LoadedKnown: true, RunningRank: IdleRank}
		}
	}
	return in
}

// tickUntil ticks once per second, reports each order as done and returns all
// orders.
func tickUntil(s *State, from, to time.Time, in Inputs) []Order {
	var orders []Order
	for now := from; now.Before(to); now = now.Add(time.Second) {
		for _, o := range s.Tick(now, in) {
			orders = append(orders, o)
			s.HandleResult(now, o, ResultDone)
			server := in.Servers[o.Server]
			if o.Action == ActionLoad {
				server.Loaded = withModel(server.Loaded, o.Model, o.Version)
			}
			in.Servers[o.Server] = server
		}
	}
	return orders
}

// withModel returns a copy of loaded with one more model.
func withModel(loaded map[string]string, model, version string) map[string]string {
	out := map[string]string{model: version}
	for model, version := range loaded {
		if _, ok := out[model]; !ok {
			out[model] = version
		}
	}
	return out
}

func TestModelsAreLoadedWithinTheRate(t *testing.T) {
	in := idleServers(testPolicy(t, 8, 6, 12))
	s := NewState(testConfig)
	first := tickUntil(s, epoch, epoch.Add(time.Minute), in)
	// The zone's share is half of the 12 loads per minute.
	if len(first) == 0 || len(first) > 6 {
		t.Errorf("%d loads in the first minute, want 1 to 6", len(first))
	}
	rest := tickUntil(s, epoch.Add(time.Minute), epoch.Add(10*time.Minute), in)
	if n := len(first) + len(rest); n != 12 {
		t.Errorf("%d loads in all, want 2 replicas of 6 models", n)
	}
	count := map[string]int{}
	for _, o := range append(first, rest...) {
		count[o.Model]++
	}
	for model, n := range count {
		if n != 2 {
			t.Errorf("%s was loaded %d times", model, n)
		}
	}
}

func TestSharesOfZonesSumToTheLimit(t *testing.T) {
	p := testPolicy(t, 2, 1, 7)
	if sum := zoneLoadsPerMinute(p, "a") + zoneLoadsPerMinute(p, "b") + zoneLoadsPerMinute(p, "c"); sum != 7 {
		t.Errorf("shares sum to %v, want 7", sum)
	}
}

func TestShortAbsenceMovesNothing(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 3, 600))
	s := NewState(testConfig)
	now := epoch.Add(5 * time.Minute)
	tickUntil(s, epoch, now, in)
	absent := ""
	for name, server := range in.Servers {
		if len(server.Loaded) > 0 {
			absent = name
		}
	}
	removed := in.Servers[absent]
	delete(in.Servers, absent)
	if orders := tickUntil(s, now, now.Add(testAbsenceGrace), in); len(orders) != 0 {
		t.Errorf("a short absence of %s moved models: %v", absent, orders)
	}
	now = now.Add(testAbsenceGrace)
	if orders := tickUntil(s, now, now.Add(time.Minute), in); len(orders) != len(removed.Loaded) {
		t.Errorf("after a long absence of %s with %v: %v", absent, removed.Loaded, orders)
	}
}

func TestLeavingServerIsReplacedAtOnce(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 1, 600))
	s := NewState(testConfig)
	now := epoch.Add(5 * time.Minute)
	first := tickUntil(s, epoch, now, in)
	leaving := in.Servers[first[0].Server]
	leaving.Leaving = true
	in.Servers[first[0].Server] = leaving
	orders := tickUntil(s, now, now.Add(5*time.Second), in)
	if len(orders) != 1 || orders[0].Server == first[0].Server {
		t.Errorf("orders %v", orders)
	}
}

func TestLoadsAvoidBusyServers(t *testing.T) {
	p := testPolicy(t, 6, 1, 600)
	in := idleServers(p)
	desired := Desired(p, "a", func(string) bool { return true })["m0"]
	for name, server := range in.Servers {
		server.RunningRank = 3
		in.Servers[name] = server
	}
	for _, name := range desired {
		server := in.Servers[name]
		server.RunningRank = 0
		in.Servers[name] = server
	}
	orders := tickUntil(NewState(testConfig), epoch, epoch.Add(5*time.Minute), in)
	if len(orders) != 2 {
		t.Fatalf("orders %v", orders)
	}
	for _, o := range orders {
		if in.Servers[o.Server].RunningRank == 0 {
			t.Errorf("%v goes to a server that runs the highest tier", o)
		}
	}
}

// The only idle servers ignore fencing numbers and so can't get orders yet. The load
// must wait for them instead of going to a busy server that checks fencing numbers.
func TestFencingCheckDoesNotOutrankIdleness(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 1, 600))
	for name, server := range in.Servers {
		if in.Policy.Servers[name].ChecksFencing {
			server.RunningRank = 0
			in.Servers[name] = server
		}
	}
	for _, o := range tickUntil(NewState(testConfig), epoch, epoch.Add(time.Minute), in) {
		if in.Policy.Servers[o.Server].ChecksFencing {
			t.Errorf("%v goes to a server that runs the highest tier", o)
		}
	}
}

func TestSurplusIsUnloadedFromIdleServersOnly(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 1, 600))
	for name, server := range in.Servers {
		server.Loaded = withModel(nil, "m0", "")
		if name != "a1" && name != "a2" {
			server.RunningRank = 2
		}
		in.Servers[name] = server
	}
	orders := tickUntil(NewState(testConfig), epoch, epoch.Add(10*time.Minute), in)
	for _, o := range orders {
		if o.Action != ActionUnload || in.Servers[o.Server].RunningRank != IdleRank {
			t.Errorf("order %v", o)
		}
	}
	if len(orders) == 0 {
		t.Error("nothing was unloaded")
	}
}

func TestOrdersToEnginesWithoutFencingWaitForCoordinatorLifetime(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 3, 6000))
	s := NewState(testConfig)
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Second) {
		for _, o := range s.Tick(now, in) {
			if !in.Policy.Servers[o.Server].ChecksFencing && now.Sub(epoch) < testCoordinatorLifetime {
				t.Errorf("%v was sent %s after the takeover", o, now.Sub(epoch))
			}
			if now.Sub(epoch) < testMaxPause {
				t.Errorf("%v was sent %s after the takeover", o, now.Sub(epoch))
			}
		}
	}
	in.Majority = false
	minority := NewState(testConfig)
	for _, o := range tickUntil(minority, epoch, epoch.Add(10*time.Minute), in) {
		if !in.Policy.Servers[o.Server].ChecksFencing {
			t.Errorf("a host without a majority ordered %v", o)
		}
	}
}

func TestOldCoordinatorYields(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 3, 6000))
	s := NewState(testConfig)
	tickUntil(s, epoch, epoch.Add(3*time.Second), in)
	in.Servers["a0"] = Server{Live: true, LoadedKnown: true, RunningRank: IdleRank}
	now := epoch.Add(3 * time.Second)
	var first Order
	for ; first.Server == ""; now = now.Add(time.Second) {
		for _, o := range s.Tick(now, in) {
			first = o
		}
	}
	s.HandleResult(now, first, ResultFenced)
	for until := now.Add(testCoordinatorLifetime); now.Before(until); now = now.Add(time.Second) {
		if orders := s.Tick(now, in); len(orders) > 0 {
			t.Fatalf("orders while the host yields: %v", orders)
		}
	}
	later := tickUntil(s, now, now.Add(time.Minute), in)
	if len(later) == 0 || later[0].Fencing <= first.Fencing {
		t.Errorf("orders after the host yielded: %v, before: %v", later, first)
	}
}

func TestPauseBeginsANewTerm(t *testing.T) {
	in := idleServers(testPolicy(t, 6, 3, 6000))
	s := NewState(testConfig)
	tickUntil(s, epoch, epoch.Add(time.Second), in)
	resumedAt := epoch.Add(30 * time.Second)
	if orders := s.Tick(resumedAt, in); len(orders) > 0 {
		t.Errorf("orders right after a pause: %v", orders)
	}
}

func TestFencingNumbersGrow(t *testing.T) {
	numbers := []int{
		FencingNumber(1, epoch), FencingNumber(1, epoch.Add(time.Millisecond)), FencingNumber(2, epoch.Add(-time.Hour)),
		FencingNumber(3, epoch), FencingNumber(8_000_000, epoch),
	}
	for i := 1; i < len(numbers); i++ {
		if numbers[i] <= numbers[i-1] {
			t.Errorf("numbers %v", numbers)
		}
	}
}

func TestDesiredDependsOnNamesAlone(t *testing.T) {
	p := testPolicy(t, 8, 4, 6)
	all := func(string) bool { return true }
	first := Desired(p, "a", all)
	if !reflect.DeepEqual(first, Desired(p, "a", all)) {
		t.Error("two calls differ")
	}
	absent := first["m0"][0]
	moved := 0
	for model, servers := range Desired(p, "a", func(server string) bool { return server != absent }) {
		for i, server := range servers {
			if server != first[model][i] {
				moved++
			}
		}
		for _, server := range first[model] {
			if server != absent && !contains(servers, server) {
				t.Errorf("%s moved from %s, which stayed", model, server)
			}
		}
	}
	if moved == 0 {
		t.Error("the models of an absent server were not placed elsewhere")
	}
}

func contains(list []string, name string) bool {
	for _, each := range list {
		if each == name {
			return true
		}
	}
	return false
}

func BenchmarkTick(b *testing.B) {
	in := idleServers(testPolicy(b, 400, 28, 60))
	s := NewState(testConfig)
	now := epoch
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now, in)
	}
}
