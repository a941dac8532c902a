package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
}

// store stands in for the platform's metadata store. It keeps its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key; the value is encoded as JSON.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: text, Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.record(it)
}

// record appends a change to the history and wakes the watches. The caller holds mu.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after_revision")
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "more_pages": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after_revision"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.URL.Query().Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
