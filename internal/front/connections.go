package front

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// keepAliveInterval is the interval of TCP keep-alive probes on connections of callers.
const keepAliveInterval = 15 * time.Second

// connectionsPerRequest is the number of connections allowed for each request that may
// wait. The limit of connections is above that of requests, so that admission refuses
// excess requests in shed order before connections run out.
const connectionsPerRequest = 2

// connections limits the open connections of callers. When the limit is reached, a new
// connection replaces the connection that has been idle for the longest time; if none
// is idle, the new connection waits. connections is safe for concurrent use.
type connections struct {
	// slots holds one element for each open connection.
	slots chan struct{}

	mu sync.Mutex
	// idle lists the connections without a request, the longest idle first.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

func newConnections(limit int) *connections {
	return &connections{
		slots:    make(chan struct{}, limit),
		idle:     list.New(),
		elements: map[net.Conn]*list.Element{},
	}
}

// minIdleTime is how long a connection must be idle before a new one may replace it.
const minIdleTime = 500 * time.Millisecond

// idleConn is a connection without a request and the time since which it is idle.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// Listen opens a TCP listener for callers with the limit on connections.
func (f *Front) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveInterval}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return f.LimitConnections(inner), nil
}

// LimitConnections wraps a listener for callers with the limit on connections.
func (f *Front) LimitConnections(inner net.Listener) net.Listener {
	return &boundedListener{Listener: inner, connections: f.connections, closed: make(chan struct{}), drained: make(chan struct{})}
}

// trackState maintains the list of idle connections. It is the ConnState hook of
// http.Server.
func (c *connections) trackState(conn net.Conn, state http.ConnState) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.elements[conn]; ok {
		c.idle.Remove(old)
		delete(c.elements, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		c.elements[conn] = c.idle.PushBack(idleConn{conn: conn, since: now()})
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, if it
// has been idle for at least minIdleTime.
func (c *connections) closeLongestIdle() {
	if conn := c.removeLongestIdle(); conn != nil {
		_ = conn.Close()
	}
}

// removeLongestIdle removes the connection that closeLongestIdle closes from the list,
// or returns nil if there is none.
func (c *connections) removeLongestIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.idle.Front()
	if oldest == nil || now().Sub(oldest.Value.(idleConn).since) < minIdleTime {
		return nil
	}
	conn := c.idle.Remove(oldest).(idleConn).conn
	delete(c.elements, conn)
	return conn
}

// boundedListener returns accepted connections once they have a slot.
type boundedListener struct {
	net.Listener
	connections *connections
	closed      chan struct{}
	once        sync.Once
	// draining is set by AcceptQueued, and drained is closed when no connection is left.
	draining  atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
}

// Accept waits for a connection and for a free slot.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	if !l.acquireSlot() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &boundedConn{Conn: conn, slots: l.connections.slots}, nil
}

// queueCheckTime is how long an accept waits for a connection of the queue. Two that find
// none in a row show that the queue is empty: the first may have waited before.
const queueCheckTime = 10 * time.Millisecond

// accept waits for a connection. While the listener drains, it returns those that are
// queued, and then waits for the close.
func (l *boundedListener) accept() (net.Conn, error) {
	for misses := 0; ; {
		conn, err := l.Listener.Accept()
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if misses++; misses < 2 {
			l.setAcceptDeadline()
			continue
		}
		l.drainOnce.Do(func() { close(l.drained) })
		<-l.closed
		return nil, net.ErrClosed
	}
}

// setAcceptDeadline ends a wait for a connection after queueCheckTime, and reports whether
// the listener has deadlines.
func (l *boundedListener) setAcceptDeadline() bool {
	timed, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && timed.SetDeadline(time.Now().Add(queueCheckTime)) == nil
}

// AcceptQueued waits until the connections that the kernel has queued are accepted, or ctx
// ends. The close of a listener resets what is queued. The listener accepts nothing
// afterwards.
func (l *boundedListener) AcceptQueued(ctx context.Context) {
	l.draining.Store(true)
	if !l.setAcceptDeadline() {
		return
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
}

// slotPollInterval is how often a connection that waits for a slot checks for an idle
// connection to replace.
const slotPollInterval = 20 * time.Millisecond

// acquireSlot waits for a slot. It returns false when the listener is closed.
func (l *boundedListener) acquireSlot() bool {
	for {
		select {
		case l.connections.slots <- struct{}{}:
			return true
		default:
		}
		l.connections.closeLongestIdle()
		select {
		case l.connections.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-time.After(slotPollInterval):
		}
	}
}

// Close closes the listener and ends waits for a slot.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn is a connection that frees its slot when it is closed.
type boundedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close closes the connection and frees its slot.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
