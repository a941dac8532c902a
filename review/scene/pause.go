package main

import (
	"fmt"
	"time"
)

// The times of the pause case.
const (
	// downTime is how long the worker is down; quietTime is the pause of the clients around
	// it.
	downTime  = 400 * time.Millisecond
	quietTime = time.Second
	// refuseTime is how long the worker wants no requests, refusalTime how long it takes to
	// say so.
	refuseTime  = 5 * time.Second
	refusalTime = 100 * time.Millisecond
	// graceAfterRefusal and maxLateRequests are those of the rule.
	graceAfterRefusal = 500 * time.Millisecond
	maxLateRequests   = 2
)

// clientRates are what the clients of each daemon send in a second: a balancer that hashes
// clients spreads them unevenly.
var clientRates = []float64{140, 20, 20}

// pauseScene lets a worker start again under its id. It answers 503 with Retry-After from
// then on, also before it has renewed its registration.
func pauseScene(f *fleet, trouble bool) (broken string, err error) {
	if err := f.open(); err != nil {
		return "", err
	}
	f.write("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 200,
			"priority": 2, "service": "registo", "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "gap_aim_ms": 0,
		}},
		"services": []map[string]any{{"name": "registo", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	var watched *worker
	for i, zone := range []string{"lisboa-a", "lisboa-a", "lisboa-b", "lisboa-b"} {
		w, err := f.addWorker(fmt.Sprintf("i-0bd818c%d", i), zone, "registo", true, 6, 30*time.Millisecond)
		if err != nil {
			return "", err
		}
		if i == 0 {
			watched = w
		}
	}
	if err := f.startHosts("lisboa-a", "lisboa-a", "lisboa-b"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	f.sendAll(3 * time.Second)
	time.Sleep(quietTime / 2)
	if trouble {
		watched.crash()
		time.Sleep(downTime)
		if err := watched.start(); err != nil {
			return "", err
		}
	}
	watched.turnAway(refuseTime, refusalTime)
	f.sendAll(refuseTime + time.Second)
	for _, h := range f.hosts {
		if late := watched.lateRequests(h.name); late > maxLateRequests {
			broken = fmt.Sprintf("%d requests reached a worker from %s, which it had asked to send none", late, h.name)
			f.record.add("%s", broken)
		}
	}
	return broken, nil
}

// sendAll sends requests to all daemons for a time.
func (f *fleet) sendAll(d time.Duration) {
	until := time.Now().Add(d)
	for i, h := range f.hosts {
		f.sendEvenly(h, clientRates[i], until, newLookup)
	}
	time.Sleep(d)
}

// lateRequests returns the number of requests that reached the worker from a daemon between
// graceAfterRefusal after it had turned away one of that daemon and the end of the time that
// it named.
func (w *worker) lateRequests(host string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := func(id string) bool {
		name, _ := w.fleet.sentTo.Load(id)
		return name == host
	}
	most := 0
	for _, r := range w.refusals {
		if !from(r.id) {
			continue
		}
		late := 0
		for _, a := range w.arrivals {
			if from(a.id) && a.came.After(r.at.Add(graceAfterRefusal)) && a.came.Before(r.until) {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

func newLookup() request {
	return request{method: "GET", host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", deadline: time.Second}
}
