// Package platform is a stand-in of the platform's configuration service, which
// can be read and watched. It can be down, stale, or go back in time.
package platform

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"mimosafront/internal/standin"
)

// MaxValueBytes is the largest value.
const MaxValueBytes = 1 << 20

// maxWait bounds one watch call.
const maxWait = time.Minute

// Config describes the service.
type Config struct {
	// CallsPerSecond bounds the calls of all readers; 0 sets no bound. A
	// waiting watch counts as one call.
	CallsPerSecond float64
}

// value is one version of one key.
type value struct {
	version int
	body    []byte
}

// Platform is a running stand-in. Its methods are safe for concurrent use.
type Platform struct {
	handler http.Handler
	server  *standin.Server
	limiter *rate.Limiter

	mu sync.Mutex
	// history holds all versions of each key, oldest first.
	history map[string][]value
	// shown is the version that readers see while the service is stale or
	// went back in time, by key.
	shown map[string]int
	stale bool
	down  bool
	// changed is closed and replaced whenever readers may see a new version.
	changed chan struct{}
	calls   int
}

// New returns a Platform that is not started.
func New(c Config) *Platform {
	p := &Platform{
		history: map[string][]value{},
		shown:   map[string]int{},
		changed: make(chan struct{}),
		limiter: newLimiter(c.CallsPerSecond),
	}
	router := httprouter.New()
	router.GET("/v1/values/*key", p.get)
	router.PUT("/v1/values/*key", p.put)
	router.GET("/v1/watch/*key", p.watch)
	p.handler = router
	p.server = standin.NewServer(p.handler)
	return p
}

func newLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(callsPerSecond), int(math.Ceil(callsPerSecond)))
}

// Start serves on an address, or on a free loopback port if it is empty.
func (p *Platform) Start(address string) error { return p.server.Start(address) }

// Address returns ip:port.
func (p *Platform) Address() string { return p.server.Address() }

// Handler returns the service's handler.
func (p *Platform) Handler() http.Handler { return p.handler }

// Close stops the service.
func (p *Platform) Close() { p.server.Kill() }

// Publish stores a new version of a key and returns it. It fails for values
// larger than MaxValueBytes.
func (p *Platform) Publish(key string, body []byte) (int, error) {
	if len(body) > MaxValueBytes {
		return 0, fmt.Errorf("platform: value of %s has %d bytes, at most %d are allowed", key, len(body), MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	version := len(p.history[key]) + 1
	p.history[key] = append(p.history[key], value{version: version, body: body})
	if !p.stale {
		p.shown[key] = version
		p.notify()
	}
	return version, nil
}

// SetDown makes the service break every connection, while true.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetStale freezes what readers see, while true.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = stale
	if stale {
		return
	}
	for key, versions := range p.history {
		p.shown[key] = len(versions)
	}
	p.notify()
}

// Revert shows an old version of a key until the next Publish or SetStale.
func (p *Platform) Revert(key string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shown[key] = min(max(version, 1), len(p.history[key]))
	p.notify()
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read returns what readers see of a key, and a channel that is closed at the
// next change.
func (p *Platform) read(key string) (found value, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version := p.shown[key]; version > 0 {
		found = p.history[key][version-1]
	}
	return found, p.down, p.changed
}

// admit counts a call and refuses it over the rate. A service that is down
// breaks the connection.
func (p *Platform) admit(w http.ResponseWriter) bool {
	p.mu.Lock()
	p.calls++
	down := p.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !p.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !p.admit(w) {
		return
	}
	found, _, _ := p.read(keyOf(params))
	if found.version == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	write(w, found)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if !p.admit(w) {
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		found, down, changed := p.read(keyOf(params))
		if down {
			panic(http.ErrAbortHandler)
		}
		if found.version != 0 && found.version != after {
			write(w, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := p.Publish(keyOf(params), body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set("X-Version", strconv.Itoa(version))
	w.WriteHeader(http.StatusNoContent)
}

func keyOf(params httprouter.Params) string {
	return strings.TrimPrefix(params.ByName("key"), "/")
}

func write(w http.ResponseWriter, v value) {
	w.Header().Set("X-Version", strconv.Itoa(v.version))
	_, _ = w.Write(v.body)
}
