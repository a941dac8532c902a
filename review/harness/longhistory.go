package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// link is a proxy for the connections of one host to the store, which can be cut. It is safe
// for concurrent use.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.73.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward copies both ways until one end or the link is closed.
func (l *link) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.add(near) {
		return
	}
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, near)
}

func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[conn] = true
	return true
}

// setCut cuts the link, which resets its connections, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut = cut; cut {
		for conn := range l.conns {
			_ = conn.Close()
		}
	}
}

const (
	bigConfigRoutes = 360
	bigConfigs      = 5
	// Two storms of 2 s, one after the other.
	stormGap      = 80 * time.Millisecond
	stormVersions = 2 * 25
	cutTime       = 5500 * time.Millisecond
	// stableWindow is stable_window_ms, after which the host is in touch, with a margin.
	stableWindow = 3500 * time.Millisecond
	drainTime    = 2 * time.Second // drain_ms
	// serveTime is how long the worker goes on after its registration was removed.
	serveTime = 8 * time.Second
)

// largeConfig has a route of the orders and others beside it, in columns.
func largeConfig(version, others int) object {
	columns := []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts", "public", "sticky", "resumable", "gap_aim_ms", "backends"}
	row := func(name, prefix string, timeoutMs int) []any {
		return []any{name, "order.example", prefix, "idempotent", timeoutMs, 300, 0, "orders", 2, false, false, false, 0, nil}
	}
	rows := [][]any{row("r-orders", "/order/", 4000)}
	for i := range others {
		rows = append(rows, row(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%05d/", i), 4000+version))
	}
	return object{
		"version":  version,
		"routes":   object{"columns": columns, "rows": rows},
		"services": []object{{"name": "orders", "health_path": "/health", "max_connections": 100, "protocol": "h1"}},
		"limits":   clientLimits,
		"tenants":  []object{{"name": "museum", "api_keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

// playLongHistory cuts a host off from the store while the configuration changes often.
func playLongHistory(r *record, disrupted bool) (bool, error) {
	f, err := prepareFleet(r, 3)
	defer f.stop()
	if err != nil {
		return false, err
	}
	cutLink, err := startLink(f.store.address())
	if err != nil {
		return false, err
	}
	defer cutLink.listener.Close()
	f.hosts[0].storeAddress = cutLink.listener.Addr().String()
	if err := f.startHosts(); err != nil {
		return false, err
	}
	runs := map[string][]time.Time{}
	var mu sync.Mutex
	var workers []*worker
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "orders", zone: zoneNames[i], slots: 6}
		handler := func(out http.ResponseWriter, in *http.Request) {
			id := in.Header.Get("Request-Id")
			r.write("worker %s runs %s", w.id, id)
			mu.Lock()
			runs[w.id] = append(runs[w.id], time.Now())
			mu.Unlock()
			out.Header().Set("Origin-Seal", w.seal(id))
			fmt.Fprint(out, "done")
		}
		if err := f.startWorker(w, handler); err != nil {
			return false, err
		}
		defer w.stop()
		workers = append(workers, w)
	}
	version := 1
	if err := f.store.put("op/config", largeConfig(version, 0)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	for n := range bigConfigs {
		version++
		if err := f.store.put("op/config", largeConfig(version, (n+1)*bigConfigRoutes)); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	stopClient := make(chan struct{})
	var client sync.WaitGroup
	client.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopClient:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := fmt.Sprintf("req-%d", n)
			a, err := call(f.hosts[0].front, "GET", "/order/x", "order.example", id, 4*time.Second, "X-Api-Key: key-1")
			r.write("%s at %s got %d, error %v", id, f.hosts[0].name, a.status, err)
		}
	})
	time.Sleep(3 * time.Second)
	if disrupted {
		r.write("host-1 is cut off from the store")
		cutLink.setCut(true)
		healed := time.After(cutTime)
		for range stormVersions {
			version++
			if err := f.store.put("op/config", largeConfig(version, bigConfigs*bigConfigRoutes)); err != nil {
				return false, err
			}
			time.Sleep(stormGap)
		}
		<-healed
		cutLink.setCut(false)
		r.write("the cut ends")
		time.Sleep(stableWindow)
	}
	workers[0].leave(f.store)
	left := time.Now()
	r.write("the registration of worker i-1 is removed")
	time.Sleep(serveTime)
	close(stopClient)
	client.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range runs["i-1"] {
		if at.After(left.Add(drainTime)) {
			late++
		}
	}
	r.say("worker i-1 ran %d requests, %d of them later than %v after its registration was removed", len(runs["i-1"]), late, drainTime)
	if len(runs["i-1"]) == 0 {
		return false, errors.New("the worker ran nothing")
	}
	return late > 0, nil
}
