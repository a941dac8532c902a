package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// longBody is the size of long requests, below the operator's limit of 4 MiB.
	longBody = 3 << 20
	// readBeforeAnswer is what a worker reads of a long body before it answers.
	readBeforeAnswer = 64 << 10
	// readOnAfter is how long a worker waits before it reads on.
	readOnAfter = 1500 * time.Millisecond
)

// sentBodies holds the bodies of all requests by id.
type sentBodies struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func (s *sentBodies) add(id string, size int) []byte {
	line := []byte("body of " + id + "\n")
	body := bytes.Repeat(line, size/len(line)+1)[:size]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[id] = body
	return body
}

func (s *sentBodies) get(id string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[id]
}

// earlyAnswer: workers reject long requests before they are in, keep the connection and
// read on later.
func earlyAnswer(f *fleet, trouble bool) error {
	sent := &sentBodies{bodies: map[string][]byte{}}
	handle := func(w *worker, c *workerConn, r *http.Request) bool { return f.serveEarly(w, c, r, sent, trouble) }
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%08d", i+1), service: "registo", zone: zone, slots: 6, handle: handle}
		if err := startWorker(w); err != nil {
			return err
		}
		f.store.put("servers/"+w.id, w.registration("ready"))
	}
	f.store.put(configKey, config(3, []map[string]any{{
		"name": "entrega", "host": hostName, "prefix": "/entrega/", "kind": "non_idempotent", "service": "registo",
		"timeout_ms": 4000, "target_latency_ms": 200, "priority": 2, "max_attempts": 1,
	}}, []map[string]any{{"name": "registo", "health_path": "/health", "max_connections": 110}}))
	if err := f.startAll(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		client := newClient()
		wg.Go(func() { f.sendOften(client, h, sent, longBody, 10, time.Second) })
		wg.Go(func() { f.sendOften(client, h, sent, 600, 200, 50*time.Millisecond) })
	}
	wg.Wait()
	time.Sleep(2 * readOnAfter)
	return nil
}

// sendOften sends requests of one size to an entry host, one each interval.
func (f *fleet) sendOften(client *http.Client, h *entryHost, sent *sentBodies, size, count int, interval time.Duration) {
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() {
			id := newID()
			f.record.printf("client sends %s to %s, %d bytes", id, h.name, size)
			o := send(client, f.address(h, "front"), http.MethodPost, "/entrega/1", id, 4*time.Second, bytes.NewReader(sent.add(id, size)), nil)
			f.record.printf("client gets for %s: status %d, %d bytes, error %v", id, o.status, len(o.body), o.err)
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

// serveEarly serves a request. With trouble, a long one is rejected before it is read.
func (f *fleet) serveEarly(w *worker, c *workerConn, r *http.Request, sent *sentBodies, trouble bool) bool {
	id := r.Header.Get("Request-Id")
	due := sent.get(id)
	if due == nil || int64(len(due)) != r.ContentLength {
		f.record.violation("worker %s gets request %q, which no client sent so", w.id, id)
		return false
	}
	if trouble && r.ContentLength > 1<<20 {
		start := make([]byte, readBeforeAnswer)
		if _, err := io.ReadFull(r.Body, start); err != nil {
			return false
		}
		f.record.printf("worker %s rejects %s before it is in", w.id, id)
		c.answer(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\nKeep-Alive: timeout=5\r\n", "")
		time.Sleep(readOnAfter)
		return f.compareBody(w, r, id, due, len(start))
	}
	if !f.compareBody(w, r, id, due, 0) {
		return false
	}
	f.record.printf("worker %s runs %s", w.id, id)
	time.Sleep(30 * time.Millisecond)
	c.answer(r, http.StatusOK, w.seal(r)+"Keep-Alive: timeout=5\r\n", "recorded "+id+"\n")
	return true
}

// compareBody reads the rest of a body and compares it with what the client sent. It
// reports whether the body is whole and as sent.
func (f *fleet) compareBody(w *worker, r *http.Request, id string, due []byte, offset int) bool {
	rest, err := io.ReadAll(r.Body)
	for i, b := range rest {
		if b != due[offset+i] {
			f.record.violation("worker %s gets other bytes at %d of the body of %s (%d bytes): %q", w.id, offset+i, id, len(due), rest[i:min(i+160, len(rest))])
			return false
		}
	}
	if err != nil {
		f.record.printf("worker %s: the body of %s is broken off after %d bytes: %v", w.id, id, offset+len(rest), err)
		return false
	}
	return true
}
