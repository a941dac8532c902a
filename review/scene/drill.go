package main

import (
	"fmt"
	"time"
)

// The times of the drill case.
const (
	// evacuateTime is evacuate_ms, and stableTime is stable_window_ms.
	evacuateTime = 5 * time.Second
	stableTime   = 4 * time.Second
	// copyAge is how much older the copy of the store is than its return, and awayTime how
	// long the store is away.
	copyAge  = 4 * time.Second
	awayTime = 500 * time.Millisecond
	// restartDelay is how long the killed daemon is down.
	restartDelay = 300 * time.Millisecond
	// rewriteDelay is how long after its return the operator writes the evacuation again.
	rewriteDelay = 8 * time.Second
	// evacuated is the zone, and killedHost the daemon that is killed.
	evacuated  = "norte-b"
	killedHost = "front-norte-b-1"
)

// drillScene lets the store return from a copy that lacks an evacuation, and restarts one
// daemon before the operator writes it again.
func drillScene(f *fleet, trouble bool) (broken string, err error) {
	if err := f.open(); err != nil {
		return "", err
	}
	f.write("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150,
			"priority": 2, "service": "cumbre-app", "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "gap_aim_ms": 0,
		}},
		"services": []map[string]any{{"name": "cumbre-app", "health_path": "/health", "max_connections": 490, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	var watched *worker
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		w, err := f.addWorker(fmt.Sprintf("i-0bd818c%d", i), zone, "cumbre-app", true, 6, 15*time.Millisecond)
		if err != nil {
			return "", err
		}
		if zone == evacuated {
			watched = w
		}
	}
	if err := f.startHosts("norte-a", "norte-a", "norte-b", "norte-b", "norte-c", "norte-c"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(copyAge + awayTime + time.Second + rewriteDelay + 2*time.Second)
	for _, h := range f.hosts {
		f.sendEvenly(h, 10, until, newLookup)
	}
	time.Sleep(time.Second)
	copied := f.store.copyState()
	time.Sleep(200 * time.Millisecond)
	f.write("op/evacuate/"+evacuated, map[string]any{})
	acknowledged := time.Now()
	f.record.add("the evacuation of zone %s is acknowledged", evacuated)
	time.Sleep(copyAge)
	if trouble {
		f.store.goAway()
		f.record.add("the store is away")
		time.Sleep(awayTime)
		f.store.returnFrom(copied)
		f.record.add("the store returns from a copy that lacks the evacuation")
	} else {
		time.Sleep(awayTime)
	}
	returned := time.Now()
	time.Sleep(time.Second)
	if err := f.restart(killedHost, restartDelay); err != nil {
		return "", err
	}
	restarted := time.Now()
	time.Sleep(time.Until(returned.Add(rewriteDelay)))
	f.write("op/evacuate/"+evacuated, map[string]any{})
	f.record.add("the operator writes the evacuation again")
	rewritten := time.Now()
	time.Sleep(2 * time.Second)

	// The daemons that were not killed are in touch once the store has been stable; the other
	// one when it has run for that long, too.
	from := latest(acknowledged.Add(evacuateTime), returned.Add(stableTime), restarted.Add(stableTime))
	count := map[string]int{}
	total := 0
	for _, a := range watched.arrivalsBetween(from, rewritten) {
		host, _ := f.sentTo.Load(a.id)
		count[fmt.Sprint(host)]++
		total++
	}
	if total == 0 {
		return "", nil
	}
	broken = fmt.Sprintf("%d requests reached the worker of the evacuated zone from machines in touch: %v", total, count)
	f.record.add("%s", broken)
	return broken, nil
}

// latest returns the latest of several times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
