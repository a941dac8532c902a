package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents and eventGap make streams that last four seconds.
	streamEvents = 20
	eventGap     = 200 * time.Millisecond
	// secondStopAfter is the time between the two SIGTERMs.
	secondStopAfter = 2 * time.Second
)

// secondTerm: an entry host that is stopping gets SIGTERM once more, because two rolling
// stops overlap.
func secondTerm(f *fleet, trouble bool) error {
	var mu sync.Mutex
	arrived := map[string]bool{}
	handle := func(w *worker, c *workerConn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		arrived[id] = true
		mu.Unlock()
		f.record.printf("worker %s runs %s", w.id, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n", id, w.seal(r))
		for i := range streamEvents {
			event := fmt.Sprintf("id: %d\ndata: piece\n\n", i+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				f.record.printf("worker %s: %s is broken off after %d events", w.id, id, i)
				return false
			}
			time.Sleep(eventGap)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	for i := range 12 {
		w := &worker{id: fmt.Sprintf("i-%08d", i+1), service: "oraculo", zone: zones[i%3], slots: 5, engine: true, handle: handle}
		if err := startWorker(w); err != nil {
			return err
		}
		f.store.put("servers/"+w.id, w.registration("ready"))
	}
	f.store.put(configKey, config(3, []map[string]any{{
		"name": "laudo", "host": hostName, "prefix": "/laudo/", "kind": "streaming", "service": "oraculo", "gap_aim_ms": 300, "sticky": true,
		"timeout_ms": 10000, "target_latency_ms": 500, "priority": 1, "max_attempts": 1,
	}}, []map[string]any{{"name": "oraculo", "health_path": "/health", "max_connections": 370,
		"engine": map[string]any{"kv_capacity_tokens": 586175, "stride": 4}}}))
	if err := f.startAll(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var stopped time.Time
	h := f.hosts[0]
	ask := func() {
		defer clients.Done()
		id := newID()
		sentAt := time.Now()
		f.record.printf("client sends %s to %s", id, h.name)
		o := send(newClient(), f.address(h, "front"), http.MethodPost, "/laudo/1", id, 10*time.Second, strings.NewReader("prompt"),
			map[string]string{"Model": "m", "Token-Counts": "100,80", "Prompt-Prefix": id[:8] + ":100"})
		events := strings.Count(string(o.body), "data: piece\n\n")
		f.record.printf("client gets for %s: status %d, %d events, error %v", id, o.status, events, o.err)
		mu.Lock()
		defer mu.Unlock()
		if arrived[id] && o.err != nil && !stopped.IsZero() {
			f.record.violation("%s was passed on to a worker, and its connection ends without a complete answer; sent %.1f s before the SIGTERM",
				id, stopped.Sub(sentAt).Seconds())
		}
	}
	for range 15 {
		clients.Add(1)
		go ask()
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	f.signal(h, syscall.SIGTERM)
	if trouble {
		time.Sleep(secondStopAfter)
		f.signal(h, syscall.SIGTERM)
	}
	clients.Wait()
	select {
	case <-h.ended:
		f.record.printf("%s has ended", h.name)
	case <-time.After(10 * time.Second):
	}
	return nil
}
