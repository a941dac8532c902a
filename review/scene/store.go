package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is how many items a page of a range read has at most.
	pageItems = 500
	// historyTime is how long the store keeps its changes: history_s.
	historyTime = 20 * time.Second
	// maxWait bounds one watch.
	maxWait = 30 * time.Second
)

// store is a stand-in of the platform's store, which can return from an earlier copy of
// itself. It is safe for concurrent use.
type store struct {
	mu    sync.Mutex
	era   int
	state storeState
	// news is closed and replaced at each change.
	news chan struct{}
	// away is set while nobody gets an answer.
	away bool
}

// storeState is what a copy of the store holds.
type storeState struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is the revision of the last change that was dropped from the history.
	forgotten int64
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

func newStore() *store {
	return &store{era: 1, state: storeState{revision: 10, items: map[string]storeItem{}}, news: make(chan struct{})}
}

// write writes a value. The write is acknowledged when it returns.
func (s *store) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.state
	t.revision++
	it := storeItem{Key: key, Value: []byte(value), Revision: t.revision, CreateRevision: t.revision, written: time.Now()}
	if before, ok := t.items[key]; ok {
		it.CreateRevision = before.CreateRevision
	}
	t.items[key] = it
	t.history = append(t.history, it)
	if kept := slices.IndexFunc(t.history, func(h storeItem) bool { return time.Since(h.written) < historyTime }); kept > 0 {
		t.forgotten = t.history[kept-1].Revision
		t.history = slices.Clone(t.history[kept:])
	}
	s.wake()
}

// wake ends the watches that wait. The caller holds mu.
func (s *store) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// copyState returns what the store holds now.
func (s *store) copyState() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.state
	t.items, t.history = maps.Clone(t.items), slices.Clone(t.history)
	return t
}

// goAway makes the store answer nobody; watches that wait are cut.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// returnFrom makes the store answer again, from a copy of itself.
func (s *store) returnFrom(t storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.state, s.away = t, false
}

// ServeHTTP answers range reads and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	switch r.URL.Path {
	case "/api/kv-range":
		s.answer(w, func() { s.list(w, prefix, query.Get("after_revision")) })
	case "/api/kv-watch":
		after, err := strconv.ParseInt(query.Get("after_revision"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.awaitChange(r, after, min(time.Duration(wait)*time.Millisecond, maxWait))
		s.answer(w, func() { s.watch(w, prefix, after) })
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer calls write with the store locked, or breaks the connection while it is away.
func (s *store) answer(w http.ResponseWriter, write func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	write()
}

// awaitChange waits for a change after the newest revision.
func (s *store) awaitChange(r *http.Request, after int64, wait time.Duration) {
	s.mu.Lock()
	news, isNewest := s.news, s.state.revision == after && !s.away
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

// watch writes the changes after a revision. The caller holds mu.
func (s *store) watch(w http.ResponseWriter, prefix string, after int64) {
	if after < s.state.forgotten || after > s.state.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []storeItem{}
	for _, it := range s.state.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	writeJSON(w, map[string]any{"events": events, "store_revision": s.state.revision})
}

// list writes the page of a range that begins after a key. The caller holds mu.
func (s *store) list(w http.ResponseWriter, prefix, after string) {
	page, more := []storeItem{}, false
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if more = len(page) == pageItems; more {
			break
		}
		page = append(page, s.state.items[key])
	}
	writeJSON(w, map[string]any{"items": page, "more_pages": more, "store_revision": s.state.revision})
}

func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
