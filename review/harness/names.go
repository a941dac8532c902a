package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// unusualName is the name of a tenant that a change of the configuration adds.
const unusualName = "Crew #2"

// callConfig has one route, of a plain service, and the given keys of the tenants.
func callConfig(version int, keys map[string][]string) object {
	var tenants []object
	for name, list := range keys {
		tenants = append(tenants, object{
			"name": name, "api_keys": list, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0,
		})
	}
	return object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "host": "order.example", "prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 0, "service": "orders", "max_attempts": 1,
		}},
		"services": []object{{"name": "orders", "health_path": "/health", "max_connections": 100, "protocol": "h1"}},
		"limits":   clientLimits,
		"tenants":  tenants,
	}
}

// playUnusualName takes a key away from a tenant in a version that also adds a tenant.
func playUnusualName(r *record, disrupted bool) (bool, error) {
	f, err := startFleet(r, 3)
	defer f.stop()
	if err != nil {
		return false, err
	}
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "orders", zone: zoneNames[i], slots: 6}
		handler := func(out http.ResponseWriter, in *http.Request) {
			id := in.Header.Get("Request-Id")
			r.write("worker %s runs %s of tenant %q", w.id, id, in.Header.Get("Tenant"))
			out.Header().Set("Origin-Seal", w.seal(id))
			fmt.Fprint(out, "recorded")
		}
		if err := f.startWorker(w, handler); err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := f.store.put("op/config", callConfig(1, map[string][]string{"museum": {"key-1", "key-2"}})); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	if disrupted {
		if err := f.store.put("op/config", callConfig(4, map[string][]string{"museum": {"key-1"}, unusualName: {"key-3"}})); err != nil {
			return false, err
		}
		r.write("version 4 acknowledged: key-2 is taken away, tenant %q is added with key-3", unusualName)
		time.Sleep(configTime)
	}
	served, outdated := 0, 0
	for n := range 10 {
		for _, h := range f.hosts {
			for key, inForce := range map[string]bool{"key-1": true, "key-2": !disrupted, "key-3": disrupted} {
				id := fmt.Sprintf("%s-%s-%d", h.name, key, n)
				a, err := call(h.front, "POST", "/order/new", "order.example", id, 4*time.Second, "X-Api-Key: "+key, "Content-Length: 0")
				r.write("%s got %d, error %v", id, a.status, err)
				if a.status == http.StatusOK {
					served++
				}
				if (a.status == http.StatusOK) != inForce {
					outdated++
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.say("%d requests were served; %d were handled as only version 1 allows", served, outdated)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	if disrupted {
		if err := f.playRestart(); err != nil {
			return false, err
		}
	}
	return outdated > 0, nil
}

// recoveryTime is recovery_s.
const recoveryTime = 12 * time.Second

// playRestart kills all hosts and starts them again, and records how many requests are
// served later than recoveryTime.
func (f *fleet) playRestart() error {
	f.record.write("all processes are killed and started again")
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	time.Sleep(time.Second)
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	time.Sleep(recoveryTime + time.Second)
	served, sent := 0, 0
	for n := range 5 {
		for _, h := range f.hosts {
			id := fmt.Sprintf("%s-later-%d", h.name, n)
			a, err := call(h.front, "POST", "/order/new", "order.example", id, 4*time.Second, "X-Api-Key: key-1", "Content-Length: 0")
			f.record.write("%s got %d, error %v; %s ready: %v", id, a.status, err, h.name, h.isReady())
			if sent++; a.status == http.StatusOK {
				served++
			}
		}
	}
	f.record.say("after the restart, %d of %d requests were served", served, sent)
	return nil
}
