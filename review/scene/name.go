package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is config_ms.
	configTime = 2 * time.Second
	// revokedKey is taken away by the second version, and keptKey isn't.
	revokedKey = "n2ctnfzs989anu6wsjnb"
	keptKey    = "i9n73hh2b9wu3fexd9dn"
	// plainName and oddName are names of a tenant that the second version adds.
	plainName = "Crew 2"
	oddName   = "Crew #2"
)

// nameScene writes a version that takes a key away and adds a tenant, whose name holds a
// number sign with trouble.
func nameScene(f *fleet, trouble bool) (broken string, err error) {
	if err := f.open(); err != nil {
		return "", err
	}
	tenant := func(name string, keys ...string) map[string]any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
	}
	configure := func(version int, tenants ...map[string]any) {
		f.write("op/config", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 200,
				"priority": 2, "service": "registo", "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "gap_aim_ms": 0,
			}},
			"services": []map[string]any{{"name": "registo", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants":  tenants,
		})
		f.record.add("version %d is acknowledged: %v", version, tenants)
	}
	configure(7, tenant("hule930", keptKey, revokedKey))
	zones := []string{"lisboa-a", "lisboa-b", "lisboa-c"}
	for i, zone := range zones {
		if _, err := f.addWorker(fmt.Sprintf("i-0bd818c%d", i), zone, "registo", true, 6, 30*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := f.startHosts(zones...); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	name := plainName
	if trouble {
		name = oddName
	}
	configure(9, tenant("hule930", keptKey), tenant(name, "x7kq2mvd03hslp5tzz1w"))
	time.Sleep(3 * configTime)
	ran := 0
	for range 5 {
		for _, h := range f.hosts {
			q := newLookup()
			q.key = revokedKey
			if f.send(http.DefaultClient, h, q) == http.StatusOK {
				ran++
			}
		}
	}
	if ran > 0 {
		return fmt.Sprintf("%d of 15 requests ran with a key that was taken away %s before", ran, 3*configTime), nil
	}
	return "", nil
}
