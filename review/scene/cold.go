package main

import (
	"fmt"
	"math"
	"time"
)

// The figures of the cold case, as the sheet and the site file of the customer name them.
const (
	coldPerS  = 5.2
	coldOver  = 1.5
	coldSlack = 5
	// coldTime is how long the workers stay cold.
	coldTime = 4500 * time.Millisecond
	// cutLead is how long after the cut the workers turn cold.
	cutLead = 4 * time.Second
	// noticeTime is left to the daemons in touch to hear of it.
	noticeTime = 1500 * time.Millisecond
	coldWindow = time.Second
	// cutHost is the daemon that is cut off. Its clients send burstSize requests, one each
	// burstSpacing, and pause for burstPause.
	cutHost      = "front-norte-a-1"
	burstSize    = 12
	burstSpacing = 60 * time.Millisecond
	burstPause   = 1300 * time.Millisecond
	// clientsPerS is what the clients of each other daemon send in a second.
	clientsPerS = 2.6
)

// coldScene cuts one daemon off from the others and from the store. Then the worker of its
// zone turns cold.
func coldScene(f *fleet, trouble bool) (broken string, err error) {
	f.arguments = []string{"-set", fmt.Sprintf("scheduler.cold_rate_factor=%g", coldOver), "-set", fmt.Sprintf("scheduler.cold_slack_requests=%d", coldSlack)}
	if err := f.open(); err != nil {
		return "", err
	}
	f.write("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 1000,
			"priority": 0, "service": "cumbre", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 600,
		}},
		"services": []map[string]any{{
			"name": "cumbre", "health_path": "/health", "max_connections": 750, "protocol": "h1", "tls": false, "cold_per_s": coldPerS,
			"engine": map[string]any{"slots": 4, "kv_capacity_tokens": 459895, "stride": 5},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	})
	zones := []string{"norte-a", "norte-b", "norte-c"}
	var watched *worker
	for i, zone := range zones {
		w, err := f.addWorker(fmt.Sprintf("i-7f3a91c%d", i), zone, "cumbre", false, 4, 60*time.Millisecond)
		if err != nil {
			return "", err
		}
		if i == 0 {
			watched = w
		}
	}
	if err := f.startHosts("norte-a", "norte-a", "norte-a", "norte-b", "norte-b", "norte-c", "norte-c"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(2*time.Second + cutLead + coldTime + time.Second)
	for _, h := range f.hosts {
		if h.name == cutHost {
			f.sendInBursts(h, burstSize, burstSpacing, burstPause, until, newPrompt)
			continue
		}
		f.sendEvenly(h, clientsPerS, until, newPrompt)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.cutOff(cutHost)
	}
	time.Sleep(cutLead)
	began := time.Now()
	watched.turnCold(coldTime)
	time.Sleep(coldTime + time.Second)
	arrivals := watched.arrivalsBetween(began.Add(noticeTime), began.Add(coldTime))
	most, start := mostWithin(arrivals, coldWindow)
	allowed := coldPerS*coldOver + coldSlack
	f.record.add("worker %s got at most %d requests in 1 s while it was cold, from %.3f s; allowed %.1f", watched.id, most, f.record.since(start), allowed)
	fmt.Printf("at most %d requests in one second, allowed %.1f\n", most, allowed)
	if most > int(math.Floor(allowed)) {
		return fmt.Sprintf("a cold worker got %d requests in one second, allowed %.1f", most, allowed), nil
	}
	return "", nil
}

// newPrompt returns a request with a prompt of its own.
func newPrompt() request {
	n := requestNumber.Load()
	return request{
		method: "POST", host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", deadline: 4 * time.Second,
		tokens: "360,15", prefix: fmt.Sprintf("5c1e07a2:60,%x:300", 0x91bd0000+n), body: "a prompt",
	}
}
