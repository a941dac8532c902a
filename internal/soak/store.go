package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// Store is a stand-in of the store of the users' platform, with the operator and the
// servers that write to it. Writes are acknowledged when they return.
type Store interface {
	http.Handler
	Configure(StoreConfig)
	// Register renews the registration of a server, which stays cold for a time.
	Register(s policy.Server, cold time.Duration)
	SetEvacuated(zone string, evacuated bool)
	SetDown(down bool)
	// KeepCopy returns a function by which the store returns from what it holds now.
	KeepCopy() (returnFrom func())
	NewRequest(StoreRequest) (*http.Request, error)
	// RequestIDHeader returns the header with a request's id, which servers repeat.
	RequestIDHeader() string
	// PromisesNotRun reports whether a status says that a request hasn't run and won't.
	PromisesNotRun(status int) bool
}

// StoreConfig is a configuration of the operator.
type StoreConfig struct {
	Generation int
	// Tiers are those of the routes, highest first.
	Tiers []string
	// Keys are those of each organisation.
	Keys          map[string][]string
	Model         string
	ContextTokens int
	Deadline      time.Duration
	// ColdPerS is the number of requests a second that a cold server takes.
	ColdPerS float64
}

// StoreRequest is a request of a client.
type StoreRequest struct {
	Address, ID, Tier, Key, Body string
	PromptTokens, MaxTokens      int
	Deadline                     time.Duration
}

const (
	// storeHeartbeat is the interval at which servers renew their registrations.
	storeHeartbeat = time.Second
	// coldPerS, coldFactor and coldSlack bound what a cold server may get in a second.
	coldPerS   = 10.0
	coldFactor = 1.5
	coldSlack  = 5.0
	// evacuateBound is how long hosts may send to a zone after the acknowledgement of its
	// evacuation, revokeBound how long they may accept a revoked key.
	evacuateBound = 5 * time.Second
	revokeBound   = 5 * time.Second
	// minEvacuation is added to the drawn durations of evacuations and cold times, so that
	// some of the time is beyond the bound.
	minEvacuation = 6 * time.Second
	// minStoreGap and maxStoreGap bound the time between the starts of two storeKinds.
	minStoreGap = 2 * time.Second
	maxStoreGap = 8 * time.Second
	// spreadTime lets a configuration reach the hosts; drillOutage is how long the store is
	// down before it returns from a copy.
	spreadTime  = 2 * time.Second
	drillOutage = 500 * time.Millisecond
	// lostTime is how long the store lacks, in the last drill, what was written since the copy.
	lostTime = 3 * time.Second
	// probePause is the pause between requests with a revoked key.
	probePause = 50 * time.Millisecond
)

// storeKinds are the faults of runs with a store, beside those of kinds that storeLacks
// doesn't hold.
var storeKinds = []Kind{KindEvacuation, KindCold, KindDrill}

// storeLacks holds the kinds that concern the configuration service.
var storeLacks = map[Kind]bool{
	KindLeaving: true, KindAnnouncedLeave: true, KindEndlessAnswers: true, KindPlatformStale: true, KindPlatformRevert: true,
}

// evacuationPeriod and coldPeriod are intervals after an acknowledgement.
type evacuationPeriod struct {
	zone       string
	begin, end time.Time
}

type coldPeriod struct {
	server     string
	begin, end time.Time
}

// revokedProbe is a request with a key that was revoked before.
type revokedProbe struct {
	promptHash uint64
	host       string
	revoked    time.Time
	sent       time.Time
}

// Schedule returns the faults of a run.
func (c Config) Schedule() []Fault {
	faults := Schedule(c.Seed, c.Duration)
	if c.Store == nil {
		return faults
	}
	faults = slices.DeleteFunc(faults, func(f Fault) bool { return storeLacks[f.Kind] })
	faults = append(faults, drawFaults(rand.New(rand.NewPCG(c.Seed, 2)), storeKinds, c.Duration, minStoreGap, maxStoreGap)...)
	slices.SortStableFunc(faults, func(x, y Fault) int { return int(x.At - y.At) })
	return faults
}

// storeSettings returns the settings of the platform and of the scheduler.
func storeSettings() (platform, scheduler string) {
	return fmt.Sprintf("protocol = store\nzones = a:r,b:r,c:r\nlink_ms = 1\nserver_heartbeat_ms = %d\n", storeHeartbeat.Milliseconds()),
		fmt.Sprintf("cold_rate_factor = %g\ncold_slack_requests = %g\n", coldFactor, coldSlack)
}

// configureStore writes the next configuration. The caller holds mu.
func (f *fleet) configureStore() {
	f.generation++
	keys := map[string][]string{}
	for _, name := range organisations {
		keys[name] = []string{keyPrefix + name}
	}
	keys[organisations[0]] = append(keys[organisations[0]], f.extraKeys...)
	f.store.Configure(StoreConfig{
		Generation: f.generation, Tiers: tiers, Keys: keys, Model: model, ContextTokens: 8192, Deadline: deadline, ColdPerS: coldPerS,
	})
}

// renewRegistrations renews the registrations of all servers until ctx ends.
func (f *fleet) renewRegistrations(ctx context.Context) {
	for sleep.For(ctx, storeHeartbeat) {
		f.registerAll()
	}
}

func (f *fleet) registerAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range engineNames {
		f.register(name)
	}
}

// register renews the registration of a server. The caller holds mu.
func (f *fleet) register(name string) {
	var cold time.Duration
	for _, p := range f.coldPeriods {
		if p.server == name {
			cold = max(cold, time.Until(p.end))
		}
	}
	f.store.Register(policy.Server{
		Name: name, Zone: name[:1], Address: f.serverProxies[name].Addr(), Models: model, MaxRequests: requestsPerEngineEven,
	}, cold)
}

// evacuate evacuates a zone until the returned function is called.
func (f *fleet) evacuate(zone string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuating[zone]++
	f.store.SetEvacuated(zone, true)
	p := &evacuationPeriod{zone: zone, begin: time.Now()}
	f.evacuations = append(f.evacuations, p)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		p.end = time.Now()
		if f.evacuating[zone]--; f.evacuating[zone] == 0 {
			f.store.SetEvacuated(zone, false)
		}
	}
}

// makeCold lets the servers of a zone turn cold for a time.
func (f *fleet) makeCold(zone string, duration time.Duration) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range engineNames {
		if name[:1] == zone {
			now := time.Now()
			f.coldPeriods = append(f.coldPeriods, &coldPeriod{server: name, begin: now, end: now.Add(duration)})
			f.register(name)
		}
	}
	return func() {}
}

// drill revokes a key and lets the store return from a copy that has it. The returned
// function lets the operator write again what the copy lacks.
func (r *run) drill(ctx context.Context) (undo func(), note string) {
	if !r.drills.TryLock() {
		return func() {}, "another drill is in progress"
	}
	f := r.fleet
	key := fmt.Sprintf("%sdrill-%d", keyPrefix, time.Now().UnixNano())
	f.setExtraKeys(key)
	sleep.For(ctx, spreadTime)
	returnFrom := f.store.KeepCopy()
	f.setExtraKeys()
	revoked := time.Now()
	probeCtx, stop := context.WithCancel(ctx)
	r.probing.Go(func() { r.probeRevoked(probeCtx, key, revoked) })
	// All hosts refuse the key when the copy, which has it, returns.
	sleep.For(ctx, revokeBound)
	f.store.SetDown(true)
	sleep.For(ctx, drillOutage)
	returnFrom()
	f.store.SetDown(false)
	return func() {
		f.rewriteStore()
		r.probing.Go(func() {
			sleep.For(ctx, spreadTime)
			stop()
			r.drills.Unlock()
		})
	}, ""
}

func (f *fleet) setExtraKeys(keys ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extraKeys = keys
	f.configureStore()
}

// rewriteStore writes the next configuration, the evacuations and the registrations.
func (f *fleet) rewriteStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configureStore()
	for _, zone := range zoneNames {
		f.store.SetEvacuated(zone, f.evacuating[zone] > 0)
	}
	for _, name := range engineNames {
		f.register(name)
	}
}

// probeRevoked sends requests with a revoked key to all hosts in turn until ctx ends.
func (r *run) probeRevoked(ctx context.Context, key string, revoked time.Time) {
	for i := 0; sleep.For(ctx, probePause); i++ {
		h := r.fleet.hosts[hostNames[i%len(hostNames)]]
		if !h.running() {
			continue
		}
		record := r.callers.newRecord(h.name, 0, fmt.Sprintf("revoked %d", r.callers.number.Add(1)))
		r.probes = append(r.probes, revokedProbe{promptHash: record.PromptHash, host: h.name, revoked: revoked, sent: record.Sent})
		r.callers.sendRouted(&record, key, answerTokens)
	}
}

// runStoreAfterHeal runs a calm phase, in which the servers of one zone are cold and
// another zone is evacuated, and then a drill, in which the store loses an evacuation.
func (r *run) runStoreAfterHeal(ctx context.Context) {
	now := func(kind Kind, zone string, duration time.Duration) func() {
		return func() {
			r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: duration, Kind: kind, Target: zone})
		}
	}
	r.calmBegin = time.Now()
	var group conc.WaitGroup
	group.Go(now(KindCold, zoneNames[0], minEvacuation+storeHeartbeat))
	group.Go(now(KindEvacuation, zoneNames[1], minEvacuation+storeHeartbeat))
	group.Wait()
	r.calmEnd = time.Now()
	group.Go(now(KindDrill, "", lostTime))
	// The evacuation begins after the copy and is lost.
	sleep.For(ctx, spreadTime+storeHeartbeat/2)
	group.Go(now(KindEvacuation, zoneNames[2], evacuateBound+2*lostTime))
	group.Wait()
	r.probing.Wait()
}

// completion is the part of an engine's answer that callers compare.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// sendRouted sends a request on the route of its tier and completes its record.
func (c *callers) sendRouted(r *requestRecord, key string, tokens int) {
	body, _ := json.Marshal(map[string]any{
		"model": model, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": r.Prompt}},
	})
	request, err := c.fleet.store.NewRequest(StoreRequest{
		Address: c.fleet.hosts[r.Host].front, ID: fmt.Sprintf("%016x", r.PromptHash), Tier: tiers[r.Tier], Key: key, Body: string(body),
		PromptTokens: len(r.Prompt) / 4, MaxTokens: tokens, Deadline: deadline,
	})
	if err != nil {
		return
	}
	r.Verdict = verdict.MayHaveRun
	defer func() { r.Ended = time.Now() }()
	response, err := c.http.Do(request)
	if err != nil {
		r.Disconnected = true
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	var answer completion
	switch {
	case c.fleet.store.PromisesNotRun(response.StatusCode):
		r.Verdict = verdict.NotRun
	case err != nil:
		r.Disconnected, r.AnswerStarted = true, len(text) > 0
	case response.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) == nil && len(answer.Choices) == 1:
		r.Complete, r.Verdict = true, verdict.Ran
		r.Matches = answer.Choices[0].Message.Content == engine.Answer(r.PromptHash, tokens)
	}
}
