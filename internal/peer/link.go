package peer

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/memlimit"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

var (
	errTooManyLinks    = errors.New("too many links")
	errSelf            = errors.New("the address is this host's own")
	errCertificateName = errors.New("the certificate names another host")
	errWrongHost       = errors.New("another host answers at the address")
	errNoHello         = errors.New("the first frame is not a valid hello")
	errGeneration      = errors.New("the generation of the link is out of range")
)

// link is an open connection to another entry host.
type link struct {
	links *Links
	conn  *websocket.Conn
	hello message.Hello
	// dialed is set when this host opened the connection.
	dialed bool
	// generation is from the hello of the host that dialed: one more than the highest
	// generation that it knew for the pair.
	generation int
	queue      chan outgoing
	cancel     context.CancelFunc
	ctx        context.Context
	// lastSeen is the time of the last frame or pong received, and lastUsed that of
	// the last frame in either direction, in nanoseconds of Links.elapsed.
	lastSeen, lastUsed atomic.Int64
	// writing is 1 while a frame is being written.
	writing atomic.Int32
	// handling is set while the handler processes a frame; no further frame is read
	// meanwhile.
	handling atomic.Bool
	// probing is set while a ping waits for its pong, and during the dial of a
	// replacement.
	probing atomic.Bool
}

// supersedes reports whether frames are sent on this link rather than on another one to
// the same host. The order is the same at both ends of a pair: by the incarnation of the
// other host, then by generation, then by tieBreak for links dialed at the same time.
func (k *link) supersedes(other *link) bool {
	if k.hello.Incarnation != other.hello.Incarnation {
		return k.hello.Incarnation > other.hello.Incarnation
	}
	if k.generation != other.generation {
		return k.generation > other.generation
	}
	return k.tieBreak() >= other.tieBreak()
}

// tieBreak returns 1 for a link dialed by the host whose name sorts first, and 0
// otherwise.
func (k *link) tieBreak() int {
	lower := k.links.config.Host < k.hello.Host
	if lower == k.dialed {
		return 1
	}
	return 0
}

// enqueue queues a frame and reports whether it could. Telemetry is dropped at a shorter
// queue length than other frames.
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

// serve exchanges hellos and carries frames until the connection ends. generation is
// that of a link dialed by this host, or 0 for an accepted one. names are those of the
// other host's certificate. If wantHost isn't empty, only that host is accepted. opened
// is called once: with the name of the other host when the link is open, or with the
// error.
func (l *Links) serve(ctx context.Context, conn *websocket.Conn, generation int, names []string, wantHost string, opened func(string, error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.CloseNow()
	hello, err := l.exchangeHellos(ctx, conn, generation)
	if err == nil {
		err = l.checkHello(hello, names, wantHost)
	}
	if err != nil {
		l.counters.rejected()
		opened("", err)
		return
	}
	k := &link{
		links: l, conn: conn, hello: *hello, dialed: generation > 0,
		generation: max(generation, hello.Generation),
		queue:      make(chan outgoing, queueSize), cancel: cancel, ctx: ctx,
	}
	k.lastSeen.Store(l.elapsed())
	k.lastUsed.Store(l.elapsed())
	err = l.register(k)
	opened(hello.Host, err)
	if err != nil {
		return
	}
	defer l.unregister(k)
	k.run()
}

// exchangeHellos sends this host's hello and returns that of the other host.
func (l *Links) exchangeHellos(ctx context.Context, conn *websocket.Conn, generation int) (*message.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	own := l.hello
	own.Generation = generation
	payload, err := l.codec.encode(&message.Frame{Hello: &own})
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, payload); err != nil {
		return nil, err
	}
	conn.SetReadLimit(int64(min(maxHelloBytes, l.config.Settings.MaxFrameBytes)))
	_, payload, err = conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(int64(l.config.Settings.MaxFrameBytes))
	f, err := l.codec.decode(payload)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, errNoHello
	}
	return f.Hello, nil
}

// checkHello validates a hello. Its host name must be one of the certificate's names and
// that of the dialed host.
func (l *Links) checkHello(h *message.Hello, names []string, wantHost string) error {
	switch {
	case h.Host == l.config.Host:
		return errSelf
	case h.Host == "" || h.Zone == "" || h.Incarnation <= 0:
		return errNoHello
	case h.Generation < 0 || h.Generation > maxGeneration:
		return errGeneration
	case wantHost != "" && h.Host != wantHost:
		return errWrongHost
	case l.identity != nil && !contains(names, h.Host):
		l.config.Logger.Warn("peer rejected: its certificate names another host", "hello", h.Host, "certificate", names)
		return errCertificateName
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

// run sends and receives frames until the link ends.
func (k *link) run() {
	var wg conc.WaitGroup
	wg.Go(k.write)
	k.read()
	k.cancel()
	wg.Wait()
}

// read receives frames until the link ends. It returns at a malformed frame, one above
// the size limit or one for which no memory is left, which closes the link.
func (k *link) read() {
	l := k.links
	memory := l.memory.Reserve()
	defer memory.Release()
	for {
		payload, err := k.readMessage(memory)
		switch {
		case errors.Is(err, websocket.ErrMessageTooBig) || errors.Is(err, memlimit.ErrTooLong):
			l.counters.malformed()
			l.config.Logger.Warn("link closed: message too large", "host", k.hello.Host, "limit", l.config.Settings.MaxFrameBytes)
		case errors.Is(err, memlimit.ErrNoMemory):
			l.counters.malformed()
			l.config.Logger.Warn("link closed: no memory is left for a message", "host", k.hello.Host, "limit", messageMemory)
		}
		if err != nil {
			return
		}
		f, err := l.codec.decode(payload)
		if err != nil {
			l.counters.malformed()
			l.config.Logger.Warn("link closed: malformed message", "host", k.hello.Host, "error", err)
			return
		}
		k.handleFrame(f, len(payload))
		memory.Release()
	}
}

// readMessage receives a whole message.
func (k *link) readMessage(memory *memlimit.Reservation) ([]byte, error) {
	_, message, err := k.conn.Reader(k.ctx)
	if err != nil {
		return nil, err
	}
	return memlimit.ReadAll(message, k.links.config.Settings.MaxFrameBytes, memory)
}

// handleFrame records the receipt of a frame and passes it to the handler. Hellos and
// frames of an unknown kind are ignored.
func (k *link) handleFrame(f *message.Frame, size int) {
	now := k.links.elapsed()
	k.lastSeen.Store(now)
	kind := f.Kind()
	k.links.counters.received(kind, size)
	if kind == message.KindUnknown || kind == message.KindHello {
		return
	}
	k.lastUsed.Store(now)
	k.handling.Store(true)
	k.links.config.Handler.Frame(k.hello.Host, f)
	k.lastSeen.Store(k.links.elapsed())
	k.handling.Store(false)
}

// write sends the queued frames until the link ends.
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
			k.lastUsed.Store(k.links.elapsed())
			k.links.counters.sent(o.kind, len(o.payload))
		}
	}
}
