package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The rate limit of the tenant, and the bounds of the pages' sheets.
const (
	ratePerS      = 50_000
	burstTokens   = 50_000
	quotaWindow   = 8 * time.Second
	quotaOverage  = 0.25
	quotaSlack    = 190_000
	requestTokens = 3_840 // Token-Counts: 3720,120
)

// allowedTokens is what the rule QUOTA allows in each window.
const allowedTokens = (ratePerS*8+burstTokens)*(1+quotaOverage) + quotaSlack

// tally counts the tokens of a tenant's requests that were sent and run. It is safe for
// concurrent use.
type tally struct {
	mu   sync.Mutex
	sent map[string]time.Time
	runs []execution
}

type execution struct{ sent, begun time.Time }

func newTally() *tally { return &tally{sent: map[string]time.Time{}} }

func (t *tally) send(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[id] = time.Now()
}

func (t *tally) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, execution{sent: t.sent[id], begun: time.Now()})
}

// busiest returns the largest number of tokens that were both sent and run in one window,
// and when that window began.
func (t *tally) busiest() (tokens int, from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := slices.Clone(t.runs)
	slices.SortFunc(runs, func(a, b execution) int { return a.sent.Compare(b.sent) })
	for i, first := range runs {
		sum := 0
		for _, r := range runs[i:] {
			if r.begun.Before(first.sent.Add(quotaWindow)) {
				sum += requestTokens
			}
		}
		if sum > tokens {
			tokens, from = sum, first.sent
		}
	}
	return tokens, from
}

// modelConfig has a model and a route for each of the names.
func modelConfig(version int, names ...string) object {
	var routes, services []object
	for _, name := range names {
		routes = append(routes, object{
			"name": "r-" + name, "host": "brief.example", "prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 600, "gap_aim_ms": 300, "priority": 0, "service": name, "max_attempts": 1, "sticky": true, "resumable": false,
		})
		services = append(services, object{
			"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1",
			"engine": object{"slots": 6, "kv_capacity_tokens": 600000, "stride": 4, "models": []object{{"name": "m"}}},
		})
	}
	return object{
		"version": version, "routes": routes, "services": services, "limits": clientLimits,
		"tenants": []object{{
			"name": "museum", "api_keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": ratePerS, "burst": burstTokens,
		}},
	}
}

// serveShort answers with a short stream.
func serveShort(r *record, w *worker, t *tally) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		id := in.Header.Get("Request-Id")
		t.begin(id)
		r.write("worker %s of %s runs %s of tenant %s, Token-Counts %s", w.id, w.service, id, in.Header.Get("Tenant"), in.Header.Get("Token-Counts"))
		out.Header().Set("Origin-Seal", w.seal(id))
		out.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			time.Sleep(15 * time.Millisecond)
			fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", n, id, n)
			_ = http.NewResponseController(out).Flush()
		}
	}
}

// sendSteadily sends requests of the tenant on a route to one host after another, at an even
// rate for a time.
func (f *fleet) sendSteadily(t *tally, route string, hosts []*host, perS float64, length time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	interval := time.Duration(float64(time.Second) / perS)
	for n, start := 0, time.Now(); time.Since(start) < length; n++ {
		h := hosts[n%len(hosts)]
		id := fmt.Sprintf("%s-%d-%d", route, start.UnixMilli()%100_000, n)
		calls.Go(func() {
			t.send(id)
			f.record.write("%s is sent to %s", id, h.name)
			a, err := call(h.front, "POST", "/"+route+"/new", "brief.example", id, 8*time.Second, "X-Api-Key: key-1", "Model: m",
				"Token-Counts: 3720,120", "Prompt-Prefix: "+fmt.Sprintf("%08x", n)+":3720", "Content-Length: 0")
			f.record.write("%s got %d, error %v", id, a.status, err)
		})
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * interval)))
	}
}

const (
	// hotTenantFactor is how many times its usual the tenant sends, and hotTenantTime for how
	// long, as on a day of the site file.
	hotTenantFactor = 6.0
	hotTenantTime   = 11 * time.Second
	// usualPerS is what the tenant usually sends, in requests per second.
	usualPerS = 8.0
)

// playTwoModels has a tenant send to two models.
func playTwoModels(r *record, disrupted bool) (bool, error) {
	f, err := startFleet(r, 3)
	defer f.stop()
	if err != nil {
		return false, err
	}
	t, names := newTally(), []string{"writer", "painter"}
	for _, name := range names {
		for i := range 3 {
			w := &worker{id: fmt.Sprintf("i-%s-%d", name, i+1), service: name, zone: zoneNames[i], slots: 6, model: true}
			if err := f.startWorker(w, serveShort(r, w, t)); err != nil {
				return false, err
			}
			defer w.stop()
		}
	}
	if err := f.store.put("op/config", modelConfig(1, names...)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	send := func(perS float64, length time.Duration) {
		var routes sync.WaitGroup
		for _, name := range names {
			routes.Go(func() { f.sendSteadily(t, name, f.hosts, perS/float64(len(names)), length) })
		}
		routes.Wait()
	}
	send(usualPerS, 12*time.Second)
	if disrupted {
		r.write("the tenant sends %.1f times its usual", hotTenantFactor)
		send(hotTenantFactor*usualPerS, hotTenantTime)
	} else {
		send(usualPerS, hotTenantTime)
	}
	return judgeQuota(r, t)
}

func judgeQuota(r *record, t *tally) (bool, error) {
	tokens, from := t.busiest()
	if tokens == 0 {
		return false, errors.New("no request ran")
	}
	r.say("%d tokens were sent and run in the 8 s from %.3f s; allowed are %d", tokens, from.Sub(r.start).Seconds(), int(allowedTokens))
	return tokens > allowedTokens, nil
}
