package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"mimosafront/internal/confsource"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/loopback"
	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
	standins "mimosafront/internal/standin"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/standin/platform"
	standin "mimosafront/internal/standin/service"
	"mimosafront/internal/status"
)

const (
	// pollInterval is the interval of status polls.
	pollInterval = 50 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = time.Second
	// policyTimeout bounds the time after the heal until the newest policy is in force
	// on all hosts.
	policyTimeout = 5 * time.Second
)

// fleet is eight daemon processes, one for each entry host, connected through fault
// proxies, with in-process stand-ins for the backend servers and the platform.
type fleet struct {
	hosts    map[string]*host
	engines  map[string]*engine.Engine
	registry *standin.Service
	platform *platform.Platform
	// store is the platform's store, and storeServer serves it; nil without one.
	store       Store
	storeServer *standins.Server
	// serverProxies are the proxies of the backend servers, links those between hosts.
	serverProxies map[string]*faultproxy.Proxy
	links         *faultproxy.Mesh
	printMu       sync.Mutex

	mu sync.Mutex
	// generation and hostsVersion are those of the newest published policy and list.
	// leaving counts the faults that mark a server as leaving.
	generation   int
	hostsVersion int
	leaving      map[string]int
	// announcing counts the faults that make an engine announce that it is leaving.
	announcing map[string]int
	// leavePeriods are those published by the platform, announcedLeaves those that engines
	// announce in their answers.
	leavePeriods, announcedLeaves []*leavePeriod
	// evacuations and coldPeriods are those of the store, extraKeys its further keys of
	// the first organisation, evacuating counts the faults that evacuate a zone.
	evacuations []*evacuationPeriod
	coldPeriods []*coldPeriod
	evacuating  map[string]int
	extraKeys   []string
}

// leavePeriod is an interval in which a backend server was leaving.
type leavePeriod struct {
	server     string
	begin, end time.Time
}

func startFleet(ctx context.Context, c Config) (*fleet, error) {
	f := &fleet{
		hosts: map[string]*host{}, engines: map[string]*engine.Engine{},
		registry: standin.New(standin.Config{Name: service, ChecksFencing: true}), platform: platform.New(platform.Config{}),
		serverProxies: map[string]*faultproxy.Proxy{}, leaving: map[string]int{}, announcing: map[string]int{}, evacuating: map[string]int{}, store: c.Store,
	}
	if err := f.start(ctx, c); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, c Config) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := f.publishPolicy(); err != nil {
		return err
	}
	if f.store != nil {
		f.registerAll()
	}
	if err := f.publishHosts(); err != nil {
		return err
	}
	if err := f.prepareHosts(c); err != nil {
		return err
	}
	for _, name := range hostNames {
		if err := f.hosts[name].start(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	if !f.awaitMembership(ctx) {
		return fmt.Errorf("the hosts did not see each other within %s", membershipTimeout)
	}
	return nil
}

func (f *fleet) startStandins() error {
	if err := f.platform.Start(""); err != nil {
		return err
	}
	if err := f.registry.Start(""); err != nil {
		return err
	}
	if f.store != nil {
		f.storeServer = standins.NewServer(f.store)
		if err := f.storeServer.Start(""); err != nil {
			return err
		}
	}
	for i, name := range engineNames {
		config := engineConfig
		config.Name, config.Seed = name, uint64(i)
		if f.store != nil {
			config.RequestIDHeader = f.store.RequestIDHeader()
		}
		f.engines[name] = engine.New(config)
		if err := f.engines[name].Start(""); err != nil {
			return err
		}
		if err := f.addServerProxy(name, f.engines[name].Address()); err != nil {
			return err
		}
	}
	for _, zone := range zoneNames {
		if err := f.addServerProxy(registryName(zone), f.registry.Address()); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) addServerProxy(name, target string) error {
	p, err := faultproxy.New(target)
	f.serverProxies[name] = p
	return err
}

func (f *fleet) prepareHosts(c Config) error {
	peers := map[string]string{}
	for i, name := range hostNames {
		addresses, err := loopback.FreeAddresses(loopback.IP(i), 3)
		if err != nil {
			return err
		}
		f.hosts[name] = newHost(name, c.Daemon, c.Directory, addresses)
		peers[name] = f.hosts[name].peer
	}
	var err error
	if f.links, err = faultproxy.NewMesh(peers); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := os.WriteFile(h.settings, []byte(f.settingsText(h)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// close kills the processes and closes the proxies and stand-ins of the fleet.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.killUnrecorded()
	}
	if f.links != nil {
		f.links.Close()
	}
	for _, p := range f.serverProxies {
		p.Close()
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.registry.Kill()
	f.platform.Close()
	if f.storeServer != nil {
		f.storeServer.Kill()
	}
}

// publishPolicy publishes the next generation as a manifest and its sections.
func (f *fleet) publishPolicy() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store != nil {
		f.configureStore()
		return nil
	}
	p, err := policy.Parse("policy", []byte(f.policyText(f.generation+1)))
	if err != nil {
		return err
	}
	f.generation++
	bundle := p.Bundle()
	for digest, text := range bundle.Sections {
		if _, err := f.platform.Publish(confsource.KeySectionPrefix+digest, []byte(text)); err != nil {
			return err
		}
	}
	manifest, err := json.Marshal(bundle.Manifest)
	if err != nil {
		return err
	}
	_, err = f.platform.Publish(confsource.KeyManifest, manifest)
	return err
}

// publishHosts publishes the list of backend servers with their states. The caller
// holds mu, unless the fleet is not shared yet.
func (f *fleet) publishHosts() error {
	f.hostsVersion++
	list := confsource.HostList{Version: f.hostsVersion}
	for _, name := range engineNames {
		state := confsource.HostStateLive
		if f.leaving[name] > 0 {
			state = confsource.HostStateLeaving
		}
		list.Hosts = append(list.Hosts, confsource.Host{
			Name: name, Zone: name[:1], Address: f.serverProxies[name].Addr(), Kind: confsource.HostKindBackend, State: state,
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	_, err = f.platform.Publish(confsource.KeyHosts, body)
	return err
}

var statusClient = &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// status fetches the status report of a host.
func (f *fleet) status(name string) (status.Report, bool) {
	var report status.Report
	response, err := statusClient.Get("http://" + f.hosts[name].admin + "/status")
	if err != nil {
		return report, false
	}
	defer response.Body.Close()
	return report, json.NewDecoder(response.Body).Decode(&report) == nil
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		p := h.current()
		if p == nil {
			return fmt.Errorf("host %s exited, see %s", h.name, h.log)
		}
		if err := p.AwaitReady(ctx, h.admin); err != nil {
			return err
		}
	}
	return nil
}

// awaitMembership waits until all hosts are ready and report all members as alive.
func (f *fleet) awaitMembership(ctx context.Context) bool {
	limit := time.Now().Add(membershipTimeout)
	for !f.membershipComplete() {
		if time.Now().After(limit) || !sleep.For(ctx, pollInterval) {
			return false
		}
	}
	return true
}

func (f *fleet) membershipComplete() bool {
	for _, name := range hostNames {
		report, ok := f.status(name)
		if !ok || report.State != "ready" || len(report.Members) != len(hostNames) {
			return false
		}
		for _, m := range report.Members {
			if m.State != "alive" {
				return false
			}
		}
	}
	return true
}

// awaitPolicy waits until the newest policy is in force on all hosts, at most
// policyTimeout, and returns a violation for each host without it.
func (f *fleet) awaitPolicy(ctx context.Context) []Violation {
	limit := time.Now().Add(policyTimeout)
	var late []Violation
	for {
		late = nil
		for _, name := range hostNames {
			report, ok := f.status(name)
			switch {
			case !ok:
				late = append(late, Violation{Rule: RulePolicy, Detail: fmt.Sprintf(
					"%s does not report its generation %s after the heal", name, policyTimeout)})
			case report.PolicyGeneration != f.generation:
				late = append(late, Violation{Rule: RulePolicy, Detail: fmt.Sprintf(
					"%s has generation %d %s after the heal, the newest is %d", name, report.PolicyGeneration, policyTimeout, f.generation)})
			}
		}
		if len(late) == 0 || time.Now().After(limit) || !sleep.For(ctx, pollInterval) {
			return late
		}
	}
}
