package cluster

import (
	"slices"
	"testing"
	"time"

	"mimosafront/internal/standin/engine"
	"mimosafront/internal/status"
)

// versionLoadTime is how long an engine lacks the model while it loads a version.
const versionLoadTime = 500 * time.Millisecond

func oneZone(f *fleet) {
	f.policyKeys = "weight_loads_per_minute = 600\n"
	f.modelKeys = "replicas = 4\nversion = v1\n"
}

// rollout returns the rollout that the placement coordinator shows.
func (f *fleet) rollout() status.Rollout {
	for _, name := range f.names {
		if r, ok := f.status(name); ok && len(r.Rollouts) > 0 {
			return r.Rollouts[0]
		}
	}
	return status.Rollout{}
}

// publishVersion publishes another version of the model and waits for the end of
// its rollout.
func (f *fleet) publishVersion(generation int, version, state string) {
	f.t.Helper()
	f.modelKeys = "replicas = 4\nversion = " + version + "\n"
	f.publishPolicy(generation)
	f.await("the rollout of "+version+" begins", func() bool {
		r := f.rollout()
		return r.Version == version && (r.Changing > 0 || r.Current > 0 || r.Failures > 0)
	})
	f.await("the rollout of "+version+" is "+state, func() bool {
		r := f.rollout()
		return r.Version == version && r.State == state
	})
}

func TestVersionsRollOutUnderLoad(t *testing.T) {
	t.Parallel()
	var engines []engineSpec
	for i, name := range []string{"a-e1", "a-e2", "a-e3", "a-e4"} {
		config := quick
		config.Version, config.LoadTime, config.BrokenVersions = "v1", versionLoadTime, []string{"v3"}
		config.ChecksFencing = i%2 == 0
		engines = append(engines, engineSpec{name, 4, config})
	}
	hosts := []string{"a1", "a2", "a3"}
	f := newFleet(t, hosts, engines, oneZone)
	l := f.startLoad(worker{hosts: hosts, caller: "north", tier: "high", tokens: 20, count: 24})
	l.progress(50)
	began, answered := time.Now(), l.succeeded()
	l.progress(1000)
	before := l.rate(began, answered)
	began, answered = time.Now(), l.succeeded()
	f.publishVersion(2, "v2", "done")
	t.Logf("4 servers had v2 after %s; %.0f answers/s meanwhile, %.0f before",
		time.Since(began).Round(time.Millisecond), l.rate(began, answered), before)
	l.progress(50)
	f.publishVersion(3, "v3", "stopped")
	l.progress(50)
	answers := l.end()
	f.check(answers)
	f.mustAnswerAll(answers)
	f.checkVersions(answers)
	for name, e := range f.engines {
		if got := e.Versions()["m"]; got != "v2" {
			t.Errorf("%s has version %q after v3 was stopped", name, got)
		}
	}
}

// rate returns the answers a second since a time at which so many had come.
func (l *load) rate(since time.Time, answered int) float64 {
	return float64(l.succeeded()-answered) / time.Since(since).Seconds()
}

// checkVersions tests by the engines' journals that each answer names the version
// that served it, no version changed under a request, and one engine at a time
// was without one.
func (f *fleet) checkVersions(answers []answer) {
	f.t.Helper()
	versions := map[string]string{}
	var loads []time.Time
	for name, e := range f.engines {
		journal := e.Journal()
		for _, order := range journal {
			if order.Kind != engine.KindOrder || order.Action != "load" {
				continue
			}
			if order.Accepted {
				loads = append(loads, order.Time)
			}
			for _, entry := range journal {
				if entry.Kind == engine.KindRequest && entry.Time.Before(order.Time) && (entry.Ended.IsZero() || entry.Ended.After(order.Time)) {
					f.t.Errorf("%s ran request %s when it got the order to load %s", name, entry.ID, order.Version)
				}
			}
		}
		for _, entry := range journal {
			if entry.Kind == engine.KindRequest {
				versions[entry.ID] = entry.Version
			}
		}
	}
	for _, a := range answers {
		if a.ok() && (a.version == "" || a.version != versions[a.id]) {
			f.t.Errorf("request %s was answered by version %q, its engine had %q", a.id, a.version, versions[a.id])
		}
	}
	slices.SortFunc(loads, time.Time.Compare)
	for i := 1; i < len(loads); i++ {
		if loads[i].Sub(loads[i-1]) < versionLoadTime {
			f.t.Errorf("two engines loaded at a time, %s apart", loads[i].Sub(loads[i-1]))
		}
	}
	if len(loads) != len(f.engines) {
		f.t.Errorf("%d loads, want one on each of %d engines", len(loads), len(f.engines))
	}
}
