package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storePage is how many items a page of a range read has at most.
	storePage = 500
	// storeHistory is how long the store keeps its changes: history_s.
	storeHistory = 20 * time.Second
	// storeMaxWait bounds one watch.
	storeMaxWait = 30 * time.Second
)

// store is a stand-in of the platform's store. It is safe for concurrent use.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is the revision of the last change that was dropped from the history.
	forgotten int64
	// news is closed and replaced at each change.
	news chan struct{}
}

// storeItem is a key with its value, or its removal.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_rev,omitempty"`
	Lease          int    `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
	written        time.Time
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.70.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 10, items: map[string]storeItem{}, news: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) stop() { _ = s.server.Close() }

// put writes a value as JSON. The write is acknowledged when it returns.
func (s *store) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.change(storeItem{Key: key, Value: text})
	return nil
}

// remove removes a key.
func (s *store) remove(key string) { s.change(storeItem{Key: key, Tombstone: true}) }

func (s *store) change(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.written = s.revision, time.Now()
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		it.CreateRevision = s.revision
		if before, ok := s.items[it.Key]; ok {
			it.CreateRevision = before.CreateRevision
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	kept := slices.IndexFunc(s.history, func(h storeItem) bool { return time.Since(h.written) < storeHistory })
	if kept > 0 {
		s.forgotten = s.history[kept-1].Revision
		s.history = slices.Clone(s.history[kept:])
	}
	close(s.news)
	s.news = make(chan struct{})
}

// ServeHTTP answers range reads and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after_revision"))
	case "/api/kv-watch":
		after, err := strconv.ParseInt(query.Get("after_revision"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.awaitChange(r, after, min(time.Duration(wait)*time.Millisecond, storeMaxWait))
		s.watch(w, query.Get("prefix"), after)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// awaitChange waits for a change after a revision.
func (s *store) awaitChange(r *http.Request, after int64, wait time.Duration) {
	s.mu.Lock()
	news, isNewest := s.news, s.revision <= after
	s.mu.Unlock()
	if !isNewest {
		return
	}
	select {
	case <-news:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// watch writes the changes after a revision.
func (s *store) watch(w http.ResponseWriter, prefix string, after int64) {
	s.mu.Lock()
	if after < s.forgotten || after > s.revision {
		s.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	events, revision := []storeItem{}, s.revision
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	s.mu.Unlock()
	writeJSON(w, object{"events": events, "store_revision": revision})
}

// list writes the page of a range that begins after a key.
func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if key > after && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > storePage
	page, revision := []storeItem{}, s.revision
	for _, key := range keys[:min(len(keys), storePage)] {
		page = append(page, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, object{"items": page, "more_pages": more, "store_revision": revision})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// object is a JSON object.
type object map[string]any

// clientLimits are the limits of the pages' example.
var clientLimits = object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
