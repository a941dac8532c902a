// Package service is a stand-in of a plain service whose calls may not all be
// repeated, such as a registry of handovers or a workshop application.
//
// It never recognises a repeated call by itself: its journal shows what ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"mimosafront/internal/standin"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 1 << 20

// Config describes a service. Zero fields mean none.
type Config struct {
	Name string
	// Delay is the time between the arrival and the execution of a call.
	Delay time.Duration
	// ChecksFencing refuses an operation whose fencing number is not higher
	// than one seen for the same operation id.
	ChecksFencing bool
}

// Entry is one call that the service executed, or refused for its fencing
// number.
type Entry struct {
	Time      time.Time `json:"time"`
	Request   string    `json:"request,omitempty"`
	Operation string    `json:"operation,omitempty"`
	Fencing   int       `json:"fencing,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body,omitempty"`
	Status    int       `json:"status"`
}

// Handover is the transfer of a coin between two members.
type Handover struct {
	Coin string `json:"coin"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Service is a running stand-in. Its methods are safe for concurrent use.
type Service struct {
	config  Config
	handler http.Handler
	server  *standin.Server

	mu        sync.Mutex
	entries   []Entry
	handovers map[string]Handover
	fencing   map[string]int
	// dropReplies counts calls to execute without a reply.
	dropReplies int
	silent      bool
	delay       time.Duration
}

// New returns a Service that is not started.
func New(c Config) *Service {
	s := &Service{
		config:    c,
		handovers: map[string]Handover{},
		fencing:   map[string]int{},
		delay:     c.Delay,
	}
	router := httprouter.New()
	router.POST("/handovers", s.postHandover)
	router.GET("/handovers/:coin", s.getHandover)
	router.GET("/journal", s.getJournal)
	router.NotFound = http.HandlerFunc(s.other)
	s.handler = router
	s.server = standin.NewServer(s.handler)
	return s
}

// Start serves on an address, or on a free loopback port if it is empty.
func (s *Service) Start(address string) error { return s.server.Start(address) }

// Address returns ip:port.
func (s *Service) Address() string { return s.server.Address() }

// Handler returns the service's handler.
func (s *Service) Handler() http.Handler { return s.handler }

// Close stops the service.
func (s *Service) Close() { s.server.Close() }

// Kill closes every connection at once.
func (s *Service) Kill() { s.server.Kill() }

// SetDelay changes the time between arrival and execution of calls.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropReplies makes the service execute the next n calls and then break their
// connections without a reply.
func (s *Service) DropReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReplies = n
}

// SetSilent makes the service execute calls and never answer, while true.
func (s *Service) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Journal returns a copy of all entries, in the order of execution.
func (s *Service) Journal() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.entries...)
}

// Executions counts the accepted executions of an operation id.
func (s *Service) Executions(operation string) int {
	count := 0
	for _, entry := range s.Journal() {
		if entry.Operation == operation && entry.Status < http.StatusBadRequest {
			count++
		}
	}
	return count
}

func (s *Service) postHandover(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := s.read(w, r)
	if !ok {
		return
	}
	var handover Handover
	if json.Unmarshal(body, &handover) != nil || handover.Coin == "" {
		http.Error(w, "a handover needs a coin", http.StatusBadRequest)
		return
	}
	status := s.execute(r, body, http.StatusCreated)
	if status == http.StatusCreated {
		s.mu.Lock()
		s.handovers[handover.Coin] = handover
		s.mu.Unlock()
	}
	s.reply(w, r, status, handover)
}

func (s *Service) getHandover(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.wait(r)
	s.mu.Lock()
	handover, ok := s.handovers[params.ByName("coin")]
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	s.reply(w, r, s.execute(r, nil, status), handover)
}

// other executes any call: writes are created, reads are found.
func (s *Service) other(w http.ResponseWriter, r *http.Request) {
	body, ok := s.read(w, r)
	if !ok {
		return
	}
	status := http.StatusCreated
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		status = http.StatusOK
	}
	s.reply(w, r, s.execute(r, body, status), json.RawMessage(orNull(body)))
}

func orNull(body []byte) []byte {
	if !json.Valid(body) {
		return []byte("null")
	}
	return body
}

func (s *Service) getJournal(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, entry := range s.Journal() {
		if encoder.Encode(entry) != nil {
			return
		}
	}
}

// read reads the whole body and waits for the configured delay. A call whose
// body does not arrive whole is not executed.
func (s *Service) read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	s.wait(r)
	return body, true
}

// wait delays the call; a caller that goes away meanwhile doesn't undo it.
func (s *Service) wait(_ *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
}

// execute records a call and returns its status.
func (s *Service) execute(r *http.Request, body []byte, status int) int {
	entry := Entry{
		Time:      time.Now(),
		Request:   r.Header.Get("X-Request-Id"),
		Operation: r.Header.Get("X-Operation-Id"),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
		Status:    status,
	}
	entry.Fencing, _ = strconv.Atoi(r.Header.Get("X-Fencing-Number"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFencing && entry.Operation != "" {
		if seen, ok := s.fencing[entry.Operation]; ok && entry.Fencing <= seen {
			entry.Status = http.StatusConflict
		} else {
			s.fencing[entry.Operation] = entry.Fencing
		}
	}
	s.entries = append(s.entries, entry)
	return entry.Status
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, status int, body any) {
	s.mu.Lock()
	silent := s.silent
	dropped := s.dropReplies > 0
	if dropped {
		s.dropReplies--
	}
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	if silent || dropped {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
