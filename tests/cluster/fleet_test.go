package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/cli"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/loopback"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/standin/platform"
	"mimosafront/internal/status"
)

// patience bounds every wait for a condition.
const patience = 30 * time.Second

// fleet is a set of daemons in zones named by the first letter of their hosts,
// with engines in the test process.
type fleet struct {
	t       *testing.T
	dir     string
	hosts   map[string]*host
	names   []string
	engines map[string]*engine.Engine
	// proxies stand between hosts, by the dialing and the dialed one.
	proxies map[[2]string]*faultproxy.Proxy
	// nowhere accepts connections and never answers; hosts advertise it, so
	// that they reach each other through the proxies alone.
	nowhere net.Listener
	// platform is read by the first host alone.
	platform    *platform.Platform
	engineSpecs []engineSpec
	queue       string
	// deadMs is the silence after which hosts are held for dead.
	deadMs int
	// registry is the address of the service, if there is one.
	registry string
	// fencing says that it checks fencing numbers.
	fencing bool
	// morePolicy is added to the policy, modelKeys to its model, and policyKeys to
	// its head.
	morePolicy, modelKeys, policyKeys string
	// certificates is where the hosts' certificates are; empty runs the links
	// without TLS.
	certificates string
}

// option changes a fleet before it starts.
type option func(*fleet)

// withQueue sets the bounds of the pools' queues.
func withQueue(settings string) option { return func(f *fleet) { f.queue = settings } }

// withCertificates runs the links between hosts with TLS.
func withCertificates(f *fleet) {
	f.certificates = filepath.Join(f.dir, "certificates")
	f.keygen("ca", f.certificates)
	for _, name := range f.names {
		f.keygen("peer", f.certificates, name, "127.0.0.1")
	}
}

func (f *fleet) keygen(args ...string) {
	f.t.Helper()
	var output strings.Builder
	if cli.Keygen.Run(f.t.Context(), args, &output, &output) != cli.ExitOK {
		f.t.Fatalf("keygen %v: %s", args, output.String())
	}
}

// linkSettings returns how the links of a host are authenticated.
func (f *fleet) linkSettings(name string) string {
	if f.certificates == "" {
		return "insecure = true\n"
	}
	file := func(name string) string { return filepath.Join(f.certificates, name) }
	return fmt.Sprintf("ca_file = %s\ncertificate_file = %s\nkey_file = %s\n",
		file("ca.crt"), file(name+".crt"), file(name+".key"))
}

// engineSpec is an engine of a fleet; the first letter of its name is its zone.
type engineSpec struct {
	name        string
	maxRequests int
	config      engine.Config
}

// slots bounds the fleets that run at once.
var slots = make(chan struct{}, 3)

// newFleet starts a fleet and waits until it is whole. It is closed at the end
// of the test.
func newFleet(t *testing.T, hosts []string, engines []engineSpec, options ...option) *fleet {
	t.Helper()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	f := &fleet{
		t: t, dir: t.TempDir(), names: hosts, hosts: map[string]*host{},
		engines: map[string]*engine.Engine{}, proxies: map[[2]string]*faultproxy.Proxy{},
		platform: platform.New(platform.Config{}), engineSpecs: engines, deadMs: 1500,
	}
	for _, o := range options {
		o(f)
	}
	if err := f.platform.Start(""); err != nil {
		t.Fatal(err)
	}
	f.listenNowhere()
	for _, spec := range engines {
		f.startEngine(spec)
	}
	policy := f.policyText(1)
	for _, name := range hosts {
		free, err := loopback.FreeAddresses(loopback.IP(int(hostNumber.Add(1))), 3)
		if err != nil {
			t.Fatal(err)
		}
		f.hosts[name] = &host{name: name, front: free[0], admin: free[1], peer: free[2]}
	}
	f.openProxies()
	for _, name := range hosts {
		f.writeFiles(f.hosts[name], policy)
		f.start(name)
	}
	t.Cleanup(f.close)
	f.await("all hosts are joined and agree on the coordinators", f.whole)
	return f
}

func (f *fleet) listenNowhere() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.nowhere = listener
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
}

func (f *fleet) startEngine(spec engineSpec) {
	f.t.Helper()
	config := spec.config
	config.Name, config.Models = spec.name, []string{"m"}
	e := engine.New(config)
	if err := e.Start(""); err != nil {
		f.t.Fatal(err)
	}
	f.engines[spec.name] = e
}

func (f *fleet) openProxies() {
	for _, from := range f.names {
		for _, to := range f.names {
			if from == to {
				continue
			}
			p, err := faultproxy.New(f.hosts[to].peer)
			if err != nil {
				f.t.Fatal(err)
			}
			f.proxies[[2]string{from, to}] = p
		}
	}
}

const policyHead = `
[policy]
generation = %d
%s[tier high]
rank = 0
deadline_ms = 20000
max_deadline_ms = 60000
[tier low]
rank = 1
deadline_ms = 20000
max_deadline_ms = 60000
[hardware h]
prefill_tokens_per_s = 8000
decode_tokens_per_s = 1500
tokens_in_flight = 32000
[model m]
context_tokens = 8192
output_tokens = 20
`

// organisations have one caller each, of the same name, whose key is key-<name>.
var organisations = []string{"north", "south"}

func (f *fleet) policyText(generation int) string {
	var text strings.Builder
	fmt.Fprintf(&text, policyHead+f.modelKeys, generation, f.policyKeys)
	zones := map[string]bool{}
	for _, name := range f.names {
		zones[name[:1]] = true
	}
	for zone := range zones {
		fmt.Fprintf(&text, "[zone %s]\nlink_ms = 1\n", zone)
	}
	for _, name := range organisations {
		fmt.Fprintf(&text, "[organisation %s]\n[caller %s]\norganisation = %s\nkey_sha256 = %s\n", name, name, name, sha256Hex("key-"+name))
	}
	for _, spec := range f.engineSpecs {
		fmt.Fprintf(&text, "[server %s]\nkind = engine\nzone = %s\naddress = %s\nhardware = h\nmodels = m\nmax_requests = %d\nchecks_fencing = %v\n",
			spec.name, spec.name[:1], f.engines[spec.name].Address(), spec.maxRequests, spec.config.ChecksFencing)
	}
	text.WriteString(f.morePolicy)
	return text.String()
}

func (f *fleet) writeFiles(h *host, policy string) {
	f.t.Helper()
	h.policy = filepath.Join(f.dir, h.name+".policy.ini")
	h.settings = filepath.Join(f.dir, h.name+".ini")
	var seeds []string
	for _, other := range f.names {
		if other != h.name {
			seeds = append(seeds, f.proxies[[2]string{h.name, other}].Addr())
		}
	}
	text := fmt.Sprintf(`[node]
name = %s
zone = %s
policy_file = %s
[front]
listen = %s
admin_listen = %s
drain_timeout_ms = 20000
[peer]
%slisten = %s
advertise = %s
seeds = %s
heartbeat_ms = 100
suspect_ms = 700
dead_ms = %d
[scheduler]
grant_lifetime_ms = 500
%s
%s[log]
level = debug
`, h.name, h.name[:1], h.policy, h.front, h.admin, f.linkSettings(h.name), h.peer, f.nowhere.Addr(), strings.Join(seeds, ","), f.deadMs, f.queue, f.platformSettings(h.name))
	f.write(h.policy, policy)
	f.write(h.settings, text)
}

func (f *fleet) platformSettings(name string) string {
	if name != f.names[0] {
		return ""
	}
	return "[platform]\naddress = " + f.platform.Address() + "\n"
}

func (f *fleet) write(path, text string) {
	f.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) close() {
	for _, name := range f.names {
		if f.running(name) {
			command, exited := f.hosts[name].process()
			_ = command.Process.Kill()
			<-exited
		}
		if f.t.Failed() {
			f.showLog(name)
		}
	}
	for _, p := range f.proxies {
		p.Close()
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.platform.Close()
	_ = f.nowhere.Close()
}

// await waits for a condition.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			f.showStatus()
			f.t.Fatalf("not within %s: %s", patience, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// showStatus prints what each daemon believes.
func (f *fleet) showStatus() {
	for _, name := range f.names {
		r, ok := f.status(name)
		f.t.Logf("%s: answers %v, state %s, coordinates %d pools", name, ok, r.State, len(r.Pools))
		for _, m := range r.Members {
			f.t.Logf("  sees %s %s, incarnation %d, silent for %d ms", m.Host, m.State, m.Incarnation, m.SilenceMs)
		}
	}
}

var statusClient = &http.Client{Timeout: 2 * time.Second}

// status returns what a daemon says of itself.
func (f *fleet) status(name string) (status.Report, bool) {
	var r status.Report
	response, err := statusClient.Get("http://" + f.hosts[name].admin + "/status")
	if err != nil {
		return r, false
	}
	defer response.Body.Close()
	return r, json.NewDecoder(response.Body).Decode(&r) == nil
}

// owners returns the hosts that coordinate the engines of a zone, as they say.
func (f *fleet) owners(zone string) []string {
	var owners []string
	for _, name := range f.names {
		r, _ := f.status(name)
		for _, pool := range r.Pools {
			if pool.Zone == zone && pool.Target == "m" {
				owners = append(owners, name)
			}
		}
	}
	return owners
}

// whole reports whether all hosts run, see each other alive, and each zone's
// pool has one coordinator.
func (f *fleet) whole() bool {
	owners := map[string]int{}
	for _, name := range f.names {
		r, ok := f.status(name)
		if !ok || r.State != "ready" || len(r.Members) != len(f.names) {
			return false
		}
		for _, m := range r.Members {
			if m.State != "alive" {
				return false
			}
		}
		for _, pool := range r.Pools {
			if pool.Target == "m" {
				owners[pool.Zone]++
			}
		}
	}
	for name := range f.engines {
		if owners[name[:1]] != 1 {
			return false
		}
	}
	return true
}
