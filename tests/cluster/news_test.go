package cluster

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/confsource"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/policy"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

const (
	// leavingBound is how long a leaving backend server may still get work.
	leavingBound = 3 * time.Second
	// policyBound is how long a policy may take to be in force everywhere.
	policyBound = 5 * time.Second
	// zoneDelay is one way between two zones.
	zoneDelay = 20 * time.Millisecond
)

// publishHosts publishes which backend servers are leaving.
func (f *fleet) publishHosts(version int, leaving ...string) {
	f.t.Helper()
	list := confsource.HostList{Version: version}
	for _, name := range leaving {
		address := f.registry
		if e := f.engines[name]; e != nil {
			address = e.Address()
		}
		list.Hosts = append(list.Hosts, confsource.Host{
			Name: name, Zone: name[:1], Address: address,
			Kind: confsource.HostKindBackend, State: confsource.HostStateLeaving,
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		f.t.Fatal(err)
	}
	f.publish(confsource.KeyHosts, body)
}

func (f *fleet) publish(key string, body []byte) {
	f.t.Helper()
	if _, err := f.platform.Publish(key, body); err != nil {
		f.t.Fatal(err)
	}
}

// publishPolicy publishes a policy as a manifest and its sections.
func (f *fleet) publishPolicy(generation int) {
	f.t.Helper()
	p, err := policy.Parse("policy", []byte(f.policyText(generation)))
	if err != nil {
		f.t.Fatal(err)
	}
	bundle := p.Bundle()
	for digest, text := range bundle.Sections {
		f.publish(confsource.KeySectionPrefix+digest, []byte(text))
	}
	manifest, err := json.Marshal(bundle.Manifest)
	if err != nil {
		f.t.Fatal(err)
	}
	f.publish(confsource.KeyManifest, manifest)
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, append(oneEngineEach(4), engineSpec{"a-e2", 4, quick}, engineSpec{"b-e2", 4, quick}))
	l := f.startLoad(callers(threeZones...))
	l.progress(50)
	f.publishHosts(1, "a-e1", "b-e1")
	bound := time.Now().Add(leavingBound)
	for time.Now().Before(bound) {
		l.progress(20)
	}
	l.progress(100)
	answers := l.end()
	f.check(answers)
	f.mustAnswerAll(answers)
	for _, name := range []string{"a-e1", "b-e1"} {
		for _, entry := range f.engines[name].Journal() {
			if entry.Time.After(bound) {
				t.Errorf("%s got request %s %s after the bound", name, entry.ID, entry.Time.Sub(bound))
			}
		}
	}
}

func TestPolicyReachesAllThroughOneHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	l := f.startLoad(callers(threeZones...))
	for generation := 2; generation <= 4; generation++ {
		published := time.Now()
		f.publishPolicy(generation)
		f.await("the policy is in force on all hosts", func() bool { return f.hasPolicy(generation) })
		took := time.Since(published)
		t.Logf("generation %d was in force everywhere after %s", generation, took.Round(time.Millisecond))
		if took > policyBound {
			t.Errorf("generation %d took %s, want at most %s", generation, took, policyBound)
		}
	}
	f.kill("c1")
	f.start("c1")
	f.await("a restarted host, whose own file is of generation 1, takes the newest one from a peer", func() bool {
		r, ok := f.status("c1")
		return ok && r.PolicyGeneration == 4
	})
	answers := l.end()
	f.check(answers)
}

func TestPoisonIsStoppedAfterTwoServers(t *testing.T) {
	t.Parallel()
	crashy := quick
	crashy.DownTime = 300 * time.Millisecond
	engines := []engineSpec{{"a-e1", 4, crashy}, {"a-e2", 4, crashy}, {"b-e1", 4, crashy}, {"b-e2", 4, crashy}, {"c-e1", 4, crashy}}
	f := newFleet(t, threeZones, engines)
	for key, p := range f.proxies {
		if key[0][0] != key[1][0] {
			p.Set(faultproxy.ToTarget, faultproxy.All, faultproxy.Faults{Delay: zoneDelay})
			p.Set(faultproxy.ToClient, faultproxy.All, faultproxy.Faults{Delay: zoneDelay})
		}
	}
	poison := call{caller: "north", tier: "high", tokens: 20, prompt: engine.PoisonMarker + " describe this coin"}
	refused := 0
	for range 3 {
		for _, name := range threeZones {
			poison.host = name
			a := f.send(t.Context(), poison)
			if a.ok() {
				t.Errorf("a poison request was answered")
			}
			if a.code == "quarantined" {
				refused++
				if a.verdict != verdict.NotRun {
					t.Errorf("quarantined with verdict %s", a.verdict)
				}
			}
		}
	}
	crashes := 0
	for _, e := range f.engines {
		for _, entry := range e.Journal() {
			if entry.Seed == xxhash.Sum64String(poison.prompt) {
				crashes++
			}
		}
	}
	if crashes > 2 {
		t.Errorf("the poison reached %d engines, want at most 2", crashes)
	}
	if refused == 0 {
		t.Error("the poison was never refused as quarantined")
	}
	l := f.startLoad(callers(threeZones...))
	l.progress(30)
	answers := l.end()
	f.check(answers)
}
