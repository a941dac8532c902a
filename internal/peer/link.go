package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

var (
	errTooManyLinks = errors.New("too many links")
	errSelf         = errors.New("the address is this host's own")
	errName         = errors.New("the certificate names another host")
	errWrongHost    = errors.New("another host answers at the address")
	errNoHello      = errors.New("the first frame is not a hello")
)

// link is one open connection to another entry host.
type link struct {
	links *Links
	conn  *websocket.Conn
	hello message.Hello
	// dialed is set when this host opened the connection.
	dialed bool
	queue  chan outgoing
	cancel context.CancelFunc
	ctx    context.Context
	// heard and used are Unix nanoseconds: of the last frame received, and of
	// the last one in either direction.
	heard, used atomic.Int64
	// writing is 1 while a frame is written.
	writing atomic.Int32
	// probing is set while a ping waits for its pong, and once a fresh dial follows it.
	probing atomic.Bool
	// suspect is set while a fresh dial decides whether the link is dead.
	suspect atomic.Bool
}

// rank orders the two links of a pair alike at both ends.
func (k *link) rank() int {
	lower := k.links.config.Host < k.hello.Host
	if lower == k.dialed {
		return 1
	}
	return 0
}

// enqueue reports whether the frame was queued. Telemetry is dropped first.
func (k *link) enqueue(o outgoing) bool {
	if o.kind.Telemetry() && len(k.queue) > telemetryQueueSize {
		return false
	}
	select {
	case k.queue <- o:
		return true
	default:
		return false
	}
}

// serve exchanges hellos and carries frames until the connection ends. want is
// the host that must answer, or empty. ready is called once the link is open.
func (l *Links) serve(ctx context.Context, conn *websocket.Conn, dialed bool, names []string, want string, ready func(string, error)) {
	conn.SetReadLimit(int64(l.config.Settings.MaxFrameBytes))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.CloseNow()
	hello, err := l.exchangeHellos(ctx, conn)
	if err == nil {
		err = l.checkHello(hello, names, want)
	}
	if err != nil {
		l.counters.rejected()
		ready("", err)
		return
	}
	k := &link{
		links: l, conn: conn, hello: *hello, dialed: dialed,
		queue: make(chan outgoing, queueSize), cancel: cancel, ctx: ctx,
	}
	now := time.Now().UnixNano()
	k.heard.Store(now)
	k.used.Store(now)
	err = l.register(k)
	ready(hello.Host, err)
	if err != nil {
		return
	}
	defer l.unregister(k)
	k.run()
}

func (l *Links) exchangeHellos(ctx context.Context, conn *websocket.Conn) (*message.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	payload, err := l.codec.encode(&message.Frame{Hello: &l.hello})
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, payload); err != nil {
		return nil, err
	}
	_, payload, err = conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	f, err := l.codec.decode(payload)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, errNoHello
	}
	return f.Hello, nil
}

// checkHello compares the name in the hello with the certificate's names and
// with the host that was dialed.
func (l *Links) checkHello(h *message.Hello, names []string, want string) error {
	switch {
	case h.Host == l.config.Host:
		return errSelf
	case h.Host == "" || h.Zone == "" || h.Incarnation <= 0:
		return errNoHello
	case want != "" && h.Host != want:
		return errWrongHost
	case l.identity != nil && !contains(names, h.Host):
		l.config.Logger.Warn("peer rejected: its certificate names another host", "hello", h.Host, "certificate", names)
		return errName
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// run carries frames both ways and returns when the link has ended.
func (k *link) run() {
	var wg conc.WaitGroup
	wg.Go(k.write)
	k.read()
	k.cancel()
	wg.Wait()
}

func (k *link) read() {
	l := k.links
	for {
		_, payload, err := k.conn.Read(k.ctx)
		if err != nil {
			if errors.Is(err, websocket.ErrMessageTooBig) {
				l.counters.malformed()
				l.config.Logger.Warn("link closed: message too large", "host", k.hello.Host, "limit", l.config.Settings.MaxFrameBytes)
			}
			return
		}
		f, err := l.codec.decode(payload)
		if err != nil {
			l.counters.malformed()
			l.config.Logger.Warn("link closed: malformed message", "host", k.hello.Host, "error", err)
			return
		}
		k.take(f, len(payload))
	}
}

func (k *link) take(f *message.Frame, size int) {
	now := time.Now().UnixNano()
	k.heard.Store(now)
	kind := f.Kind()
	k.links.counters.received(kind, size)
	if kind == message.KindNone || kind == message.KindHello {
		return
	}
	k.used.Store(now)
	k.links.config.Handler.Frame(k.hello.Host, f)
}

func (k *link) write() {
	defer k.cancel()
	timeout := settings.Milliseconds(k.links.config.Settings.DeadMs)
	for {
		select {
		case <-k.ctx.Done():
			return
		case o := <-k.queue:
			ctx, cancel := context.WithTimeout(k.ctx, timeout)
			k.writing.Store(1)
			err := k.conn.Write(ctx, websocket.MessageBinary, o.payload)
			k.writing.Store(0)
			cancel()
			if err != nil {
				return
			}
			k.used.Store(time.Now().UnixNano())
			k.links.counters.sent(o.kind, len(o.payload))
		}
	}
}

// runProbes looks for links that are unused or silent until ctx ends: one look for all
// links, so that a host with many of them doesn't wake for each.
func (l *Links) runProbes(ctx context.Context) {
	bound := settings.Milliseconds(l.config.Settings.SuspectMs) / 2
	ticker := time.NewTicker(bound / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, k := range l.links() {
			l.probe(k, bound)
		}
	}
}

// links returns all links.
func (l *Links) links() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*link
	for _, r := range l.hosts {
		all = append(all, r.links...)
	}
	return all
}

// probe pings a link that is silent. When the pong is missing, a fresh dial is
// the proof: the old link is closed either way, and the host is reported as
// unreachable if the dial fails.
func (l *Links) probe(k *link, bound time.Duration) {
	if k.idle() {
		k.cancel()
		return
	}
	if time.Since(time.Unix(0, k.heard.Load())) < bound || !k.probing.CompareAndSwap(false, true) {
		return
	}
	l.wg.Go(func() {
		if k.ping(bound) {
			k.probing.Store(false)
			return
		}
		k.replace()
	})
}

func (k *link) idle() bool {
	unused := time.Since(time.Unix(0, k.used.Load()))
	return unused > idleTimeout && !k.links.isKept(k.hello.Host)
}

func (k *link) ping(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(k.ctx, timeout)
	defer cancel()
	if err := k.conn.Ping(ctx); err != nil {
		return k.ctx.Err() != nil
	}
	k.heard.Store(time.Now().UnixNano())
	return true
}

// replace opens a fresh link in place of a silent one.
func (k *link) replace() {
	l := k.links
	k.suspect.Store(true)
	l.counters.silent()
	l.config.Logger.Warn("link is silent", "host", k.hello.Host)
	l.mu.Lock()
	address := l.hosts[k.hello.Host].target()
	l.mu.Unlock()
	_, err := l.connect(l.ctx, address, k.hello.Host)
	k.cancel()
	if err != nil && l.ctx.Err() == nil {
		l.config.Handler.LinkFailed(k.hello.Host, false)
	}
}
