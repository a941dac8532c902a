package main

import (
	"fmt"
	"time"
)

// The figures of the limit case.
const (
	// requestLimit is what the worker names, in requests per second.
	requestLimit = 0.5
	// limitWindow, limitFactor and limitSlack are those of the rule, and limitStable is
	// stable_window_ms.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitStable = 3 * time.Second
	// quietPeriod is how long the clients send nothing before the burst.
	quietPeriod = 22 * time.Second
	// burstRequests is what the clients of each daemon send in the burst.
	burstRequests = 15
	// burstSpace is the time between two of them.
	burstSpace = 3 * time.Millisecond
)

// limitScene lets a burst follow on a quiet time, in which the worker names its limit to
// nobody.
func limitScene(f *fleet, trouble bool) (broken string, err error) {
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
	w, err := f.addWorker("i-0bd818c0", "lisboa-a", "registo", true, 6, 60*time.Millisecond)
	if err != nil {
		return "", err
	}
	if err := f.startHosts("lisboa-a", "lisboa-a"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	w.limit = requestLimit
	w.mu.Unlock()
	f.sendSlowly(8 * time.Second)
	if trouble {
		f.record.add("the clients send nothing for %s", quietPeriod)
		time.Sleep(quietPeriod)
	} else {
		f.sendSlowly(quietPeriod)
	}
	f.record.add("the clients of each daemon send %d requests", burstRequests)
	until := time.Now().Add(burstRequests * burstSpace)
	for _, h := range f.hosts {
		f.sendInBursts(h, burstRequests, burstSpace, time.Second, until, newLookup)
	}
	time.Sleep(100 * time.Millisecond)
	f.sendSlowly(5 * time.Second)
	w.mu.Lock()
	from := w.firstNamed.Add(limitStable)
	w.mu.Unlock()
	arrivals := w.arrivalsBetween(from, time.Now())
	most := 0
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			if !a.came.Before(first.came) && a.came.Sub(first.came) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := limitFactor*requestLimit*limitWindow.Seconds() + limitSlack
	fmt.Printf("at most %d requests in 4 s, allowed %g\n", most, allowed)
	f.record.add("at most %d requests in 4 s, allowed %g", most, allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("a worker with a limit of %g a second got %d requests in 4 s, allowed %g", requestLimit, most, allowed), nil
	}
	return "", nil
}

// sendSlowly sends a request each second to all daemons for a time.
func (f *fleet) sendSlowly(d time.Duration) {
	until := time.Now().Add(d)
	for _, h := range f.hosts {
		f.sendEvenly(h, 1, until, newLookup)
	}
	time.Sleep(d)
}
