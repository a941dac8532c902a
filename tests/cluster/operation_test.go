package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosafront/internal/client"
	"mimosafront/internal/confsource"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/standin/service"
	"mimosafront/internal/verdict"
)

// keySkew is how much later than its keeper's begin the time of a key must be.
const keySkew = 5 * time.Second

// withFencing makes the registry check fencing numbers.
func withFencing(f *fleet) { f.fencing = true }

// withRegistry adds a registry in each zone, all of them one stand-in.
func withRegistry(r *service.Service) option {
	return func(f *fleet) {
		f.registry = r.Address()
		f.morePolicy = "[service registry]\noperations = ticket_or_key\n"
		for _, zone := range []string{"a", "b", "c"} {
			f.morePolicy += fmt.Sprintf("[server %s-r1]\nkind = service\nzone = %s\naddress = %s\nservices = registry\nchecks_fencing = %t\n",
				zone, zone, r.Address(), f.fencing)
		}
	}
}

// operations sends handovers under tickets and keys, each key twice through two
// hosts, until it ends.
type operations struct {
	f *fleet
	// registry executes them.
	registry *service.Service
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu    sync.Mutex
	coins int
	// told holds the verdicts by coin.
	told map[string][]verdict.Verdict
	// ran counts the handovers by kind of which a caller was told that they ran.
	ran map[string]int
}

func (f *fleet) startOperations(r *service.Service) *operations {
	ctx, cancel := context.WithCancel(f.t.Context())
	o := &operations{f: f, registry: r, cancel: cancel, told: map[string][]verdict.Verdict{}, ran: map[string]int{}}
	for range 2 {
		o.group.Go(func() { o.loop(ctx, o.sendTicket) })
		o.group.Go(func() { o.loop(ctx, o.sendKeyTwice) })
	}
	return o
}

func (o *operations) loop(ctx context.Context, send func(ctx context.Context, n int)) {
	for ctx.Err() == nil {
		send(ctx, o.nextCoin())
		time.Sleep(5 * time.Millisecond)
	}
}

func (o *operations) nextCoin() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.coins++
	return o.coins
}

// sendKeyThrough sends a handover under one key through one host after the
// other.
func (o *operations) sendKeyThrough(ctx context.Context, n int, names ...string) {
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
	for _, name := range names {
		o.sendKey(ctx, name, key, n)
	}
}

func body(kind string, n int) string {
	return fmt.Sprintf(`{"coin":"%s-%d","from":"north","to":"south"}`, kind, n)
}

func (o *operations) tell(kind string, n int, v verdict.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told[body(kind, n)] = append(o.told[body(kind, n)], v)
	if v == verdict.Ran {
		o.ran[kind]++
	}
}

// sendTicket sends a handover by the callers' library.
func (o *operations) sendTicket(ctx context.Context, n int) {
	hosts, addresses := map[string]string{}, []string{}
	for i := range o.f.names {
		name := o.f.names[(n+i)%len(o.f.names)]
		hosts[name] = "http://" + o.f.hosts[name].front
		addresses = append(addresses, hosts[name])
	}
	c := client.New(client.Config{
		Addresses: addresses, Hosts: hosts, Key: "key-north", Tier: "high", Deadline: 2 * time.Second,
		HTTP: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	})
	_, err := c.Do(ctx, client.Call{Service: "registry", Method: http.MethodPost, Path: "/handovers", Body: []byte(body("ticket", n))})
	if err == nil {
		o.tell("ticket", n, verdict.Ran)
		return
	}
	o.tell("ticket", n, err.Verdict)
}

// sendKeyTwice sends a handover under one key through two hosts, at the same
// time or one after the other.
func (o *operations) sendKeyTwice(ctx context.Context, n int) {
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
	names := o.f.names
	first, second := names[n%len(names)], names[(n/2+1+n)%len(names)]
	var group sync.WaitGroup
	group.Go(func() { o.sendKey(ctx, first, key, n) })
	if n%2 == 0 {
		group.Wait()
	}
	group.Go(func() { o.sendKey(ctx, second, key, n) })
	group.Wait()
}

var keyClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (o *operations) sendKey(ctx context.Context, name, key string, n int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+o.f.hosts[name].front+"/services/registry/handovers", strings.NewReader(body("key", n)))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer key-north")
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Mimosa-Deadline-Ms", "2000")
	response, err := keyClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, readErr := io.Copy(io.Discard, response.Body)
	v := verdict.Verdict(response.Header.Get("Mimosa-Verdict"))
	// A refusal before the operation concerns its own attempt alone.
	if v == verdict.NotRun && response.Header.Get("Mimosa-Operation") != "void" || readErr != nil {
		return
	}
	o.tell("key", n, v)
}

// sent counts the handovers of all kinds.
func (o *operations) sent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.coins
}

func (o *operations) count(kind string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[kind]
}

// progress waits until more handovers of both kinds ran.
func (o *operations) progress(n int) {
	o.f.t.Helper()
	tickets, keys := o.count("ticket"), o.count("key")
	o.f.await(fmt.Sprintf("%d more handovers of each kind run", n), func() bool {
		return o.count("ticket") >= tickets+n && o.count("key") >= keys+n
	})
}

// end stops the callers and checks what they were told against the registry's
// journal.
func (o *operations) end() {
	o.f.t.Helper()
	o.cancel()
	o.group.Wait()
	runs := map[string]int{}
	for _, entry := range o.registry.Journal() {
		if entry.Status == http.StatusCreated {
			runs[entry.Body]++
		}
	}
	counts := map[verdict.Verdict]int{}
	for coin, n := range runs {
		if n > 1 {
			o.f.t.Errorf("%s ran %d times", coin, n)
		}
	}
	for coin, verdicts := range o.told {
		for _, v := range verdicts {
			counts[v]++
			// Of two keepers of a key, one may void it that the other executes.
			mustNotHaveRun := v == verdict.NotRun && !(o.f.fencing && strings.Contains(coin, "key-"))
			if mustNotHaveRun && runs[coin] > 0 || v == verdict.Ran && runs[coin] != 1 {
				o.f.t.Errorf("%s was told as %s, and ran %d times", coin, v, runs[coin])
			}
		}
	}
	o.f.t.Logf("%d handovers ran; told: %v", len(runs), counts)
}

// secondAttempts counts the calls that the registry refused for their fencing
// number.
func secondAttempts(r *service.Service) int {
	refused := 0
	for _, entry := range r.Journal() {
		if entry.Status == http.StatusConflict {
			refused++
		}
	}
	return refused
}

func newRegistryFleet(t *testing.T, options ...option) (*fleet, *service.Service) {
	t.Helper()
	var r *service.Service
	startRegistry := func(f *fleet) {
		r = service.New(service.Config{Name: "registry", ChecksFencing: f.fencing})
		if err := r.Start(""); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		withRegistry(r)(f)
	}
	f := newFleet(t, threeZones, oneEngineEach(8), append(options, startRegistry)...)
	time.Sleep(keySkew)
	return f, r
}

// operationFault strikes a fleet whose callers send handovers, and heals it.
type operationFault struct {
	name   string
	strike func(f *fleet, o *operations)
}

// hostFaults end after hosts were held for dead.
var hostFaults = []operationFault{
	{"a front is killed", func(f *fleet, o *operations) {
		f.restartKilled(o, others([]string{"a1", "a2"}, f.owners("a")...)[0])
	}},
	{"a coordinator is killed", func(f *fleet, o *operations) { f.restartKilled(o, f.owners("b")[0]) }},
	{"a host pauses until it is held for dead", func(f *fleet, o *operations) {
		f.signal("b1", syscall.SIGSTOP)
		f.await("the paused host is held for dead", func() bool { return f.sees("b2", "b1") == "dead" })
		o.progress(20)
		f.signal("b1", syscall.SIGCONT)
	}},
	{"a host pauses for less than it takes to be held for dead", func(f *fleet, _ *operations) {
		f.signal("a1", syscall.SIGSTOP)
		time.Sleep(time.Second)
		f.signal("a1", syscall.SIGCONT)
	}},
}

func (f *fleet) restartKilled(o *operations, name string) {
	f.kill(name)
	o.progress(20)
	f.start(name)
}

// zoneFaults leave most keys without their keeper.
var zoneFaults = []operationFault{
	{"a zone is cut off", func(f *fleet, o *operations) {
		zone, rest := []string{"b1", "b2"}, []string{"a1", "a2", "c1"}
		f.cut(zone, rest, faultproxy.Faults{Blackhole: true})
		f.cut(rest, zone, faultproxy.Faults{Blackhole: true})
		f.await("both sides see the partition", func() bool { return f.sees("a1", "b1") != "alive" && f.sees("b1", "a1") != "alive" })
		o.progress(20)
		f.cut(zone, rest, faultproxy.Faults{})
		f.cut(rest, zone, faultproxy.Faults{})
	}},
}

// linkFaults end before hosts of one zone hold each other for dead.
var linkFaults = []operationFault{
	{"a link carries nothing one way", func(f *fleet, _ *operations) { f.cutOneWay("a1", "a2") }},
	{"a link carries nothing the other way", func(f *fleet, _ *operations) { f.cutOneWay("a2", "a1") }},
	{"open links go silent towards their targets", func(f *fleet, _ *operations) { f.silence(faultproxy.ToTarget) }},
	{"open links go silent towards their clients", func(f *fleet, _ *operations) { f.silence(faultproxy.ToClient) }},
	{"open links go silent", func(f *fleet, _ *operations) { f.silence(faultproxy.ToTarget, faultproxy.ToClient) }},
}

func (f *fleet) cutOneWay(from, to string) {
	f.cut([]string{from}, []string{to}, faultproxy.Faults{Blackhole: true})
	f.await("the cut is noticed", func() bool { return f.sees(to, from) != "alive" })
	f.cut([]string{from}, []string{to}, faultproxy.Faults{})
}

func (f *fleet) silence(directions ...faultproxy.Direction) {
	for _, p := range f.proxies {
		for _, d := range directions {
			p.Set(d, faultproxy.ExistingOnly, faultproxy.Faults{Blackhole: true})
		}
	}
}

// splitFaults let two hosts of one zone hold each other for dead for long.
var splitFaults = []operationFault{
	{"a link within a zone carries nothing one way for long", func(f *fleet, o *operations) {
		f.cutForLong(o, "a1", "a2")
	}},
	{"a link within a zone carries nothing the other way for long", func(f *fleet, o *operations) {
		f.cutForLong(o, "a2", "a1")
	}},
	{"nothing that a host sends arrives until two hosts executed one key", func(f *fleet, o *operations) {
		rest := others(threeZones, "a1")
		f.cut([]string{"a1"}, rest, faultproxy.Faults{Blackhole: true})
		f.await("the registry refuses a second attempt", func() bool {
			o.sendKeyThrough(f.t.Context(), o.nextCoin(), "a1", "a2")
			return secondAttempts(o.registry) > 0
		})
		f.cut([]string{"a1"}, rest, faultproxy.Faults{})
	}},
}

// cutForLong loses what a host sends to another until that one could execute its
// keys.
func (f *fleet) cutForLong(o *operations, from, to string) {
	f.cut([]string{from}, []string{to}, faultproxy.Faults{Blackhole: true})
	f.await("the silent host is held for dead", func() bool { return f.sees(to, from) == "dead" })
	time.Sleep(keySkew)
	o.progress(40)
	f.cut([]string{from}, []string{to}, faultproxy.Faults{})
}

// outsideFaults are those of the platform, the backend servers and the callers.
var outsideFaults = []operationFault{
	{"the platform is down", func(f *fleet, o *operations) {
		f.platform.SetDown(true)
		o.progress(20)
		f.platform.SetDown(false)
	}},
	{"the platform is stale, then reverts", func(f *fleet, o *operations) {
		f.publishPolicy(2)
		f.await("the policy is in force", func() bool { return f.hasPolicy(2) })
		f.platform.SetStale(true)
		f.publishPolicy(3)
		o.progress(20)
		f.platform.SetStale(false)
		f.await("the policy is in force", func() bool { return f.hasPolicy(3) })
		f.platform.Revert(confsource.KeyManifest, 1)
		o.progress(20)
		if !f.hasPolicy(3) {
			f.t.Error("the policy in force reverted")
		}
	}},
	{"servers leave", func(f *fleet, _ *operations) { f.publishHosts(1, "a-r1", "b-e1") }},
	{"callers flood the engines", func(f *fleet, o *operations) {
		flood := f.startLoad(worker{hosts: threeZones, caller: "south", tier: "low", tokens: 20, count: 60})
		o.progress(20)
		f.check(flood.end())
	}},
	{"a request crashes engines", func(f *fleet, _ *operations) {
		for _, name := range threeZones {
			f.send(f.t.Context(), call{host: name, caller: "south", tier: "high", tokens: 20, prompt: engine.PoisonMarker + " engrave"})
		}
	}},
}

func (f *fleet) hasPolicy(generation int) bool {
	for _, name := range f.names {
		if r, ok := f.status(name); !ok || r.PolicyGeneration != generation {
			return false
		}
	}
	return true
}

// TestOperationsRunOnce sends handovers through each fault. A table of faults
// shares one fleet.
func TestOperationsRunOnce(t *testing.T) {
	for _, table := range []struct {
		name    string
		faults  []operationFault
		options []option
	}{
		{"zones", zoneFaults, nil},
		{"hosts", hostFaults, nil},
		{"links", linkFaults, []option{func(f *fleet) { f.deadMs = 10_000 }}},
		{"outside", outsideFaults, nil},
		{"split zone, checking servers", splitFaults, []option{withFencing}},
	} {
		t.Run(table.name, func(t *testing.T) {
			t.Parallel()
			f, r := newRegistryFleet(t, table.options...)
			o := f.startOperations(r)
			o.progress(20)
			for _, fault := range table.faults {
				t.Logf("coin %d: %s", o.sent(), fault.name)
				fault.strike(f, o)
				o.progress(10)
				f.await("the fleet is whole after: "+fault.name, f.whole)
				o.progress(10)
			}
			o.end()
		})
	}
}

// TestOperationsRunOnceThroughARollingRestart stops and starts each host, with
// links that carry everything and with links that lose messages.
func TestOperationsRunOnceThroughARollingRestart(t *testing.T) {
	for _, test := range []struct {
		name  string
		lossy bool
	}{{"links carry everything", false}, {"links lose messages", true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, r := newRegistryFleet(t)
			o := f.startOperations(r)
			o.progress(20)
			for _, name := range threeZones {
				f.restartDuring(o, name, test.lossy)
			}
			o.end()
			if !strings.Contains(f.log("b1"), "keys handed over to a host that joined") {
				t.Error("b1 handed no keys to b2")
				f.showLines("b1", "key", "member", "host=b2", "msg=start", "msg=stop")
				f.showLines("b2", "key", "member", "host=b1", "msg=start", "msg=stop")
			}
		})
	}
}

// restartDuring stops and starts a host. Lossy links lose what its zone sends
// while it stops and until it is whole again.
func (f *fleet) restartDuring(o *operations, name string, lossy bool) {
	f.t.Helper()
	if lossy {
		defer f.loseInZone(name[:1])()
	}
	if code := f.stop(name); code != 0 {
		f.t.Errorf("%s ended with code %d", name, code)
	}
	f.start(name)
	f.await("the restarted host is whole again", f.whole)
	o.progress(5)
}

const (
	// lossPause and lossTime are the longest times in which a lossy link carries
	// everything and nothing.
	lossPause = 150 * time.Millisecond
	lossTime  = 100 * time.Millisecond
)

// loseInZone lets the links within a zone carry nothing for moments, until the
// returned function is called.
func (f *fleet) loseInZone(zone string) (end func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var group sync.WaitGroup
	for link, p := range f.proxies {
		if link[0][:1] == zone && link[1][:1] == zone {
			group.Go(func() { loseOn(ctx, p) })
		}
	}
	return func() { cancel(); group.Wait() }
}

// loseOn makes a proxy swallow all bytes in moments of random length.
func loseOn(ctx context.Context, p *faultproxy.Proxy) {
	set := func(faults faultproxy.Faults, longest time.Duration) {
		p.Set(faultproxy.ToTarget, faultproxy.All, faults)
		p.Set(faultproxy.ToClient, faultproxy.All, faults)
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(longest)):
		}
	}
	defer set(faultproxy.Faults{}, 1)
	for ctx.Err() == nil {
		set(faultproxy.Faults{}, lossPause)
		set(faultproxy.Faults{Blackhole: true}, lossTime)
	}
}
