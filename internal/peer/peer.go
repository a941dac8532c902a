// Package peer keeps the links between entry hosts: WebSocket connections that
// carry CBOR frames, mutually authenticated by TLS.
//
// There is one link per pair of hosts as far as possible. Links are kept to the
// hosts that Keep names and opened on demand to others; an idle link on demand
// is closed. A frame may be lost with its link, never damaged or sent twice.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

const (
	// queueSize bounds the frames that wait for one link.
	queueSize = 2048
	// telemetryQueueSize is the queue length beyond which telemetry is
	// dropped.
	telemetryQueueSize = queueSize / 4
	// pendingSize bounds the frames that wait for a link to be opened.
	pendingSize = 64
	// handshakeTimeout bounds TLS, the WebSocket handshake and the hellos.
	handshakeTimeout = 2 * time.Second
	// idleTimeout closes a link on demand that carries nothing.
	idleTimeout = time.Minute
	// surplusDelay is how long the worse one of two links of a pair is still
	// read.
	surplusDelay = time.Second
	// maxGeneration bounds the number of links of a pair that a hello may state, far
	// beyond one each second for years: the next number must still fit.
	maxGeneration = 1 << 31
	// path of the WebSocket endpoint.
	path = "/peer"
)

// Handler receives what happens on the links. Its methods are called by many
// goroutines.
type Handler interface {
	// LinkUp says that frames can be sent to the host of the hello.
	LinkUp(h message.Hello)
	// LinkFailed says that a host can't be reached; refused is set when its
	// address refused the connection.
	LinkFailed(host string, refused bool)
	// Frame hands over a received frame. It may block to slow the sender.
	Frame(from string, f *message.Frame)
}

// Config holds what Links need.
type Config struct {
	Host, Zone  string
	Incarnation int
	// Weight is the processing capacity relative to other hosts.
	Weight   float64
	Settings settings.Peer
	Handler  Handler
	Logger   *eventlog.Logger
	Metrics  tally.Scope
	// Network opens the connections; nil takes TCP.
	Network Network
}

// Network listens for connections and opens them.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp is the Network of the operating system.
type tcp struct{ net.Dialer }

func (*tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Target is a host to keep a link to.
type Target struct {
	Host, Address string
}

// Links holds the links of one entry host. Its methods don't block.
type Links struct {
	config   Config
	listener net.Listener
	server   *http.Server
	identity *identity
	codec    codec
	counters *counters
	hello    message.Hello
	created  time.Time
	// suspicion is the time.Duration that SetSuspicion set.
	suspicion atomic.Int64

	mu    sync.Mutex
	hosts map[string]*remote
	ctx   context.Context
	wg    conc.WaitGroup
	open  int
}

// New listens on the peer address and reads the certificates. Run starts the
// links.
func New(c Config) (*Links, error) {
	if c.Network == nil {
		c.Network = &tcp{}
	}
	listener, err := c.Network.Listen(c.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	l := &Links{
		config:   c,
		listener: listener,
		counters: newCounters(c.Metrics),
		hosts:    map[string]*remote{},
		created:  time.Now(),
	}
	l.SetSuspicion(settings.Milliseconds(c.Settings.SuspectMs))
	if l.codec, err = newCodec(); err != nil {
		return nil, err
	}
	if !c.Settings.Insecure {
		if l.identity, err = newIdentity(c.Settings, c.Logger); err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	l.hello = message.Hello{
		Host: c.Host, Zone: c.Zone, Incarnation: c.Incarnation, Protocol: message.Protocol,
		Address: l.Address(), Weight: c.Weight,
	}
	l.server = l.newServer()
	return l, nil
}

// Address returns the address at which the other hosts reach this one.
func (l *Links) Address() string {
	if l.config.Settings.Advertise != "" {
		return l.config.Settings.Advertise
	}
	return l.listener.Addr().String()
}

// Run accepts and keeps links until ctx ends, and returns when all are closed.
func (l *Links) Run(ctx context.Context) error {
	if l.config.Settings.Insecure {
		l.config.Logger.Warn("links to other entry hosts are NOT authenticated: [peer] insecure = true; anyone who reaches the peer address can command this host",
			"listen", l.listener.Addr())
	}
	l.mu.Lock()
	l.ctx = ctx
	for _, r := range l.hosts {
		l.dialLocked(r)
	}
	l.mu.Unlock()

	var wg conc.WaitGroup
	wg.Go(func() { _ = l.server.Serve(l.listener) })
	wg.Go(func() { l.runProbes(ctx) })
	if l.identity != nil {
		wg.Go(func() { l.identity.watch(ctx) })
	}
	for _, address := range inifile.SplitList(l.config.Settings.Seeds) {
		wg.Go(func() { l.keepSeed(ctx, address) })
	}
	<-ctx.Done()
	_ = l.server.Close()
	wg.Wait()
	l.closeAll()
	l.wg.Wait()
	return ctx.Err()
}

// Send queues a frame for a host. Without a link, the frame waits while one is
// opened. It reports false when the frame was dropped: the host's address is
// unknown or the queue is full.
func (l *Links) Send(to string, f *message.Frame) bool {
	kind := f.Kind()
	payload, err := l.codec.encode(f)
	if err != nil {
		l.config.Logger.Error("frame not encoded", "kind", kind, "error", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[to]
	if r == nil {
		l.counters.dropped(kind)
		return false
	}
	sent := l.enqueueLocked(r, outgoing{kind: kind, payload: payload})
	if !sent {
		l.counters.dropped(kind)
	}
	return sent
}

func (l *Links) enqueueLocked(r *remote, o outgoing) bool {
	if link := r.best(); link != nil {
		return link.enqueue(o)
	}
	l.dialLocked(r)
	if len(r.pending) >= pendingSize || o.kind.Telemetry() {
		return false
	}
	r.pending = append(r.pending, o)
	return true
}

// Connected reports whether there is a link to a host, and starts to open one
// if there is none.
func (l *Links) Connected(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	if r == nil {
		return false
	}
	if r.best() == nil {
		l.dialLocked(r)
		return false
	}
	return true
}

// Keep names the hosts to keep links to. Addresses of the others are given by
// Know.
func (l *Links) Keep(targets []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.hosts {
		r.kept = false
	}
	for _, t := range targets {
		r := l.remoteLocked(t)
		r.kept = true
		l.dialLocked(r)
	}
}

// Know sets the addresses at which hosts can be reached, so that links to them
// can be opened on demand. Hosts not named are forgotten unless they are linked.
func (l *Links) Know(targets []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]bool{}
	for _, t := range targets {
		known[t.Host] = true
		l.remoteLocked(t)
	}
	for host, r := range l.hosts {
		if !known[host] && !r.kept && len(r.links) == 0 && !r.dialing {
			delete(l.hosts, host)
		}
	}
}

func (l *Links) remoteLocked(t Target) *remote {
	r := l.hosts[t.Host]
	if r == nil {
		r = newRemote(t.Host)
		l.hosts[t.Host] = r
	}
	if t.Address != "" {
		r.address = t.Address
	}
	return r
}

func (l *Links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.hosts {
		for _, k := range r.links {
			k.cancel()
		}
	}
}

// flushPoll is how often Flush looks at the queues.
const flushPoll = 5 * time.Millisecond

// Flush waits until all queued frames were written, or the timeout has passed.
func (l *Links) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	time.Sleep(flushPoll)
	for l.queued() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPoll)
	}
}

func (l *Links) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.hosts {
		for _, k := range r.links {
			n += len(k.queue) + int(k.writing.Load())
		}
	}
	return n
}
