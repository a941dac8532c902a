package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Streams that last for longer than half a minute, as the route allows after a change of
// the configuration that raises its timeout.
const (
	shortTimeoutMs = 20_000
	longTimeoutMs  = 60_000
	longEvents     = 40
	shortEvents    = 3
	eventInterval  = time.Second
	streamClients  = 15 // five at each host
	// configTime is above config_ms, within which a version is in force.
	configTime = 6 * time.Second
	// maxClosed is how many requests the rule LOST lets a host end without an answer.
	maxClosed = 3
)

func streamConfig(version, timeoutMs int) object {
	return object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "host": "brief.example", "prefix": "/brief/", "kind": "streaming", "timeout_ms": timeoutMs,
			"target_latency_ms": 1000, "gap_aim_ms": 1500, "priority": 0, "service": "writer", "max_attempts": 1, "sticky": true, "resumable": false,
		}},
		"services": []object{{
			"name": "writer", "health_path": "/health", "max_connections": 360, "protocol": "h1",
			"engine": object{"slots": 6, "kv_capacity_tokens": 600000, "stride": 4, "models": []object{{"name": "m"}}},
		}},
		"limits":  clientLimits,
		"tenants": []object{{"name": "museum", "api_keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 100, "rate_per_s": 0, "burst": 0}},
	}
}

// serveStream answers with a stream of numbered events.
func serveStream(r *record, w *worker) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		id, events := in.Header.Get("Request-Id"), longEvents
		if in.URL.Path == "/brief/short" {
			events = shortEvents
		}
		r.write("worker %s runs %s, Deadline-Ms %s", w.id, id, in.Header.Get("Deadline-Ms"))
		out.Header().Set("Origin-Seal", w.seal(id))
		out.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= events; n++ {
			if _, err := fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", n, id, n); err != nil {
				r.write("worker %s: the connection of %s broke at event %d: %v", w.id, id, n, err)
				return
			}
			_ = http.NewResponseController(out).Flush()
			if n == events {
				break
			}
			select {
			case <-in.Context().Done():
				r.write("worker %s: %s was dropped by its caller after event %d", w.id, id, n)
				return
			case <-time.After(eventInterval):
			}
		}
		r.write("worker %s has ended %s after %d events", w.id, id, events)
	}
}

// readStream sends one request on a connection and returns the events of its answer, and
// whether the answer was complete.
func readStream(conn net.Conn, reader *bufio.Reader, path, id string) (events int, complete bool, err error) {
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: brief.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Counts: 100,200\r\n"+
		"Prompt-Prefix: %s:100\r\nDeadline-Ms: %d\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{}", path, id, id, longTimeoutMs)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, false, fmt.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return events, lines.Err() == nil, lines.Err()
}

func playLongStreams(r *record, disrupted bool) (bool, error) {
	f, err := startFleet(r, 3)
	defer f.stop()
	if err != nil {
		return false, err
	}
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "writer", zone: zoneNames[i], slots: 6, model: true}
		if err := f.startWorker(w, serveStream(r, w)); err != nil {
			return false, err
		}
		defer w.stop()
	}
	timeout := shortTimeoutMs
	if err := f.store.put("op/config", streamConfig(1, timeout)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	if disrupted {
		timeout = longTimeoutMs
		if err := f.store.put("op/config", streamConfig(4, timeout)); err != nil {
			return false, err
		}
		r.write("version 4 acknowledged: timeout_ms of the route is %d", timeout)
		time.Sleep(configTime)
	}
	var mu sync.Mutex
	ends, closedBy := map[string]int{}, map[string]int{}
	var clients sync.WaitGroup
	for i := range streamClients {
		clients.Go(func() {
			h := f.hosts[i%len(f.hosts)]
			end := playStreamClient(r, h, fmt.Sprintf("req-%d", i+1), time.Duration(timeout)*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
			if end == endClosed {
				closedBy[h.name]++
			}
		})
	}
	clients.Wait()
	most := 0
	for _, n := range closedBy {
		most = max(most, n)
	}
	r.say("ends of %d long streams: %v; most closed by one host: %d", streamClients, ends, most)
	if ends[endFailed] > 0 {
		return false, errors.New("a client couldn't send its long request")
	}
	return most > maxClosed, nil
}

// How a long stream ended.
const (
	endComplete = "complete"
	endTimeout  = "at the timeout of the route"
	endClosed   = "closed without a whole answer before the timeout"
	endFailed   = "not sent"
)

// playStreamClient has a client send a short request and then, on the same connection, a
// long one, and returns how that ended.
func playStreamClient(r *record, h *host, id string, timeout time.Duration) string {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		r.write("%s: %v", id, err)
		return endFailed
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	events, whole, err := readStream(conn, reader, "/brief/short", id+"-short")
	r.write("%s-short at %s: %d of %d events, complete %v, error %v", id, h.name, events, shortEvents, whole, err)
	if !whole {
		return endFailed
	}
	start := time.Now()
	events, whole, err = readStream(conn, reader, "/brief/long", id)
	lasted := time.Since(start)
	r.write("%s at %s: %d of %d events, complete %v, ended after %.1f s, error %v", id, h.name, events, longEvents, whole, lasted.Seconds(), err)
	switch {
	case whole && events == longEvents:
		return endComplete
	case lasted >= timeout-500*time.Millisecond:
		return endTimeout
	}
	return endClosed
}
