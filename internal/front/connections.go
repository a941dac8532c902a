package front

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// keepAliveInterval is the interval of TCP probes on connections of callers.
const keepAliveInterval = 15 * time.Second

// connectionsPerRequest is the number of connections for each request that may wait.
// Below it a request that finds no room is refused in the order of shedding.
const connectionsPerRequest = 2

// connections bounds the open connections of callers. One that finds no room
// takes the place of the one that has been without a request for the longest
// time; if all carry requests it waits. It is safe for concurrent use.
type connections struct {
	slots chan struct{}

	mu sync.Mutex
	// idle holds the connections without a request, the longest first.
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

// minIdleTime is how long a connection may rest before another may take its place.
const minIdleTime = 500 * time.Millisecond

// idleConn is a connection without a request.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// Listen opens the listener for callers with the bound on connections.
func (f *Front) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveInterval}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return f.LimitConnections(inner), nil
}

// LimitConnections returns a listener for callers with the bound on connections.
func (f *Front) LimitConnections(inner net.Listener) net.Listener {
	return &boundedListener{Listener: inner, connections: f.connections, closed: make(chan struct{})}
}

// trackState follows the state of a connection; it is a hook of http.Server.
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

// closeLongestIdle closes the connection that has been without a request for the
// longest time, if that is longer than the grace.
func (c *connections) closeLongestIdle() {
	if conn := c.removeLongestIdle(); conn != nil {
		_ = conn.Close()
	}
}

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

// boundedListener accepts a connection when there is room for it.
type boundedListener struct {
	net.Listener
	connections *connections
	closed      chan struct{}
	once        sync.Once
}

// Accept waits for a connection, then makes room for it.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.acquireSlot() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &boundedConn{Conn: conn, slots: l.connections.slots}, nil
}

// slotPollInterval is how often a connection that waits for room looks for one that has
// come to rest.
const slotPollInterval = 20 * time.Millisecond

// acquireSlot takes a slot. It returns false when the listener is closed.
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

// Close stops the listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn frees its slot when it is closed.
type boundedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close ends the connection.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
