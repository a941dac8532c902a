package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignService is the service that the entry of another writer names. No configuration
// names it.
const foreignService = "registo,arquivo"

// foreignEntry: an entry of another writer among the servers names a service that no
// configuration names.
func foreignEntry(f *fleet, trouble bool) error {
	handle := func(w *worker, c *workerConn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		f.record.printf("worker %s runs %s", w.id, r.Header.Get("Request-Id"))
		time.Sleep(30 * time.Millisecond)
		c.answer(r, http.StatusOK, w.seal(r)+"Keep-Alive: timeout=5\r\n", "recorded\n")
		return true
	}
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%08d", i+1), service: "registo", zone: zone, slots: 6, handle: handle}
		if err := startWorker(w); err != nil {
			return err
		}
		f.store.put("servers/"+w.id, w.registration("ready"))
	}
	f.store.put(configKey, config(3, []map[string]any{{
		"name": "entrega", "host": hostName, "prefix": "/entrega/", "kind": "non_idempotent", "service": "registo",
		"timeout_ms": 1000, "target_latency_ms": 200, "priority": 2, "max_attempts": 1,
	}}, []map[string]any{{"name": "registo", "health_path": "/health", "max_connections": 110}}))
	if err := f.startAll(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", ipOf(0)+":0")
	if err != nil {
		return err
	}
	defer listener.Close()
	go func() { _ = http.Serve(listener, f.foreignServer()) }()
	if trouble {
		f.record.printf("another writer adds the entry servers/archive-1 with the service %q", foreignService)
		f.store.put("servers/archive-1", map[string]any{
			"service": foreignService, "address": listener.Addr().String(), "zone": zones[0], "version": 1, "slots": 6,
			"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for _, h := range f.hosts {
		clients.Go(func() {
			client := newClient()
			for range 25 {
				id := newID()
				f.record.printf("client sends %s to %s", id, h.name)
				o := send(client, f.address(h, "front"), http.MethodPost, "/entrega/1", id, time.Second, strings.NewReader("handover "+id), nil)
				f.record.printf("client gets for %s: status %d, seal %q, error %v", id, o.status, o.header.Get("Origin-Seal"), o.err)
			}
		})
	}
	clients.Wait()
	return nil
}

// foreignServer is a server of another system: it answers each request with 200.
func (f *fleet) foreignServer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.record.violation("service %q runs %s %s of tenant %q: %q", foreignService, r.Method, r.URL.Path, r.Header.Get("Tenant"), body)
		fmt.Fprintln(w, "archived")
	})
}
