// Package peer maintains the links between entry hosts: WebSocket connections that
// carry CBOR frames, mutually authenticated by TLS.
//
// There is one link per pair of hosts as far as possible. Links are kept to the
// hosts that SetLinked names and opened on demand to others; an idle link on demand
// is closed. A frame may be lost with its link, never damaged or sent twice.
package peer

import (
	"context"
	"errors"
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
	"mimosafront/internal/memlimit"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

const (
	// queueSize limits the frames queued on a link.
	queueSize = 2048
	// telemetryQueueSize is the queue length above which telemetry is dropped.
	telemetryQueueSize = queueSize / 4
	// pendingSize limits the frames to a host that wait until a link is open.
	pendingSize = 64
	// handshakeTimeout limits the TLS and WebSocket handshakes, and the exchange of
	// hellos after them.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is the time without frames after which a link on demand is closed.
	idleTimeout = time.Minute
	// surplusDelay is how long a superseded link of a pair is still read before it is
	// closed.
	surplusDelay = time.Second
	// maxGeneration is the highest generation accepted in a hello. A new link each
	// second doesn't reach it in years, and the next generation can't overflow.
	maxGeneration = 1 << 31
	// maxHelloBytes limits the first message of a link, in bytes.
	maxHelloBytes = 16 << 10
	// messageMemory limits the memory for received messages, over all links, in bytes.
	// freeMessageBytes of each don't count.
	messageMemory    = 16 << 20
	freeMessageBytes = 128 << 10
	// endpointPath is the URL path of the WebSocket endpoint.
	endpointPath = "/peer"
)

// Handler receives the events and frames of the links. Its methods are called
// concurrently.
type Handler interface {
	// LinkUp reports a new link to the host of the hello.
	LinkUp(h message.Hello)
	// LinkFailed reports that a host can't be reached; refused is set if its address
	// refused the connection.
	LinkFailed(host string, refused bool)
	// Frame processes a received frame. It may block: nothing is read from the link
	// meanwhile, which slows the sender.
	Frame(from string, f *message.Frame)
}

// Config is the configuration of Links.
type Config struct {
	Host, Zone  string
	Incarnation int
	// Weight is the processing capacity relative to other hosts.
	Weight   float64
	Settings settings.Peer
	Handler  Handler
	Logger   *eventlog.Logger
	Metrics  tally.Scope
	// Network provides the connections; nil means TCP.
	Network Network
}

// Network listens for connections and opens them.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork is the Network of the operating system.
type tcpNetwork struct{ net.Dialer }

func (*tcpNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Target is the name and address of an entry host.
type Target struct {
	Host, Address string
}

// Links holds the links of one entry host. Its methods are safe for concurrent use and,
// except Run and Flush, don't block.
type Links struct {
	config   Config
	listener net.Listener
	server   *http.Server
	identity *identity
	codec    codec
	counters *counters
	// memory bounds what is held of received messages.
	memory *memlimit.Pool
	// hello is the hello of this host, without the generation of a link.
	hello   message.Hello
	created time.Time
	// suspicion is the time.Duration set by SetSuspicion.
	suspicion atomic.Int64
	// needsSeeds is set by SetNeedsSeeds.
	needsSeeds atomic.Bool

	mu        sync.Mutex
	hosts     map[string]*remote
	ctx       context.Context
	wg        conc.WaitGroup
	openCount int
}

// New listens on the peer address and reads the certificates. Run starts the
// links.
func New(c Config) (*Links, error) {
	if c.Network == nil {
		c.Network = &tcpNetwork{}
	}
	listener, err := c.Network.Listen(c.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	l := &Links{
		config:   c,
		listener: listener,
		counters: newCounters(c.Metrics),
		memory:   memlimit.NewPool(messageMemory, freeMessageBytes),
		hosts:    map[string]*remote{},
		created:  time.Now(),
	}
	l.SetSuspicion(settings.Milliseconds(c.Settings.SuspectMs))
	l.needsSeeds.Store(true)
	if l.codec, err = newCodec(); err != nil {
		return nil, errors.Join(err, listener.Close())
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

// Address returns the address at which other hosts reach this one.
func (l *Links) Address() string {
	if l.config.Settings.Advertise != "" {
		return l.config.Settings.Advertise
	}
	return l.listener.Addr().String()
}

// Run accepts and opens links until ctx ends. It returns when all links are closed.
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
		wg.Go(func() { l.connectSeed(ctx, address) })
	}
	<-ctx.Done()
	_ = l.server.Close()
	wg.Wait()
	l.closeAll()
	l.wg.Wait()
	return ctx.Err()
}

// Send queues a frame for a host. Without a link, it starts to open one and keeps the
// frame until then, unless it is telemetry. Send reports false if the frame was
// dropped: the host is unknown, the queue is full, or the frame can't be encoded.
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
	if link := r.primary(); link != nil {
		return link.enqueue(o)
	}
	l.dialLocked(r)
	if len(r.pending) >= pendingSize || o.kind.Telemetry() {
		return false
	}
	r.pending = append(r.pending, o)
	return true
}

// Connected reports whether there is a link to a host. If there is none, it starts to
// open one.
func (l *Links) Connected(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	if r == nil {
		return false
	}
	if r.primary() == nil {
		l.dialLocked(r)
		return false
	}
	return true
}

// SetLinked names the hosts to keep links to. Addresses of the others are given by
// SetKnown.
func (l *Links) SetLinked(targets []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.hosts {
		r.persistent = false
	}
	for _, t := range targets {
		r := l.ensureRemoteLocked(t)
		r.persistent = true
		l.dialLocked(r)
	}
}

// SetKnown sets the addresses at which hosts can be reached, so that links to them
// can be opened on demand. Hosts not named are forgotten unless they are linked.
func (l *Links) SetKnown(targets []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]bool{}
	for _, t := range targets {
		known[t.Host] = true
		l.ensureRemoteLocked(t)
	}
	for host, r := range l.hosts {
		if !known[host] && !r.persistent && len(r.links) == 0 && !r.dialing {
			delete(l.hosts, host)
		}
	}
}

// SetNeedsSeeds sets whether links to the seeds are kept, as they are from the start. Seeds
// could not bear the links of a large fleet; it is enough that some hosts of each zone
// keep them, which join parts of a fleet that don't know each other.
func (l *Links) SetNeedsSeeds(needs bool) { l.needsSeeds.Store(needs) }

// ensureRemoteLocked returns the entry of a host, which it adds if the host is unknown,
// and updates its address.
func (l *Links) ensureRemoteLocked(t Target) *remote {
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

// flushPollInterval is the interval at which Flush checks the queues.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until all queued frames are written or the timeout has passed.
func (l *Links) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	time.Sleep(flushPollInterval)
	for l.queued() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}

// queued returns the number of frames that are queued or being written.
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
