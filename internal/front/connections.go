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

// keepAlive is the interval of TCP probes on connections of callers.
const keepAlive = 15 * time.Second

// connectionFactor is the number of connections for each request that may wait.
// Below it a request that finds no room is refused in the order of shedding.
const connectionFactor = 2

// connections bounds the open connections of callers. One that finds no room
// takes the place of the one that has been without a request for the longest
// time; if all carry requests it waits. It is safe for concurrent use.
type connections struct {
	slots chan struct{}

	mu sync.Mutex
	// resting holds the connections without a request, the longest first.
	resting *list.List
	element map[net.Conn]*list.Element
}

func newConnections(limit int) *connections {
	return &connections{
		slots:   make(chan struct{}, limit),
		resting: list.New(),
		element: map[net.Conn]*list.Element{},
	}
}

// restGrace is how long a connection may rest before another may take its place.
const restGrace = 500 * time.Millisecond

// restingConn is a connection without a request.
type restingConn struct {
	conn  net.Conn
	since time.Time
}

// Listen opens the listener for callers with the bound on connections.
func (f *Front) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAlive}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return f.Bound(inner), nil
}

// Bound returns a listener for callers with the bound on connections.
func (f *Front) Bound(inner net.Listener) net.Listener {
	return &boundedListener{Listener: inner, connections: f.connections, closed: make(chan struct{})}
}

// observe follows the state of a connection; it is a hook of http.Server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.element[conn]; ok {
		c.resting.Remove(old)
		delete(c.element, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		c.element[conn] = c.resting.PushBack(restingConn{conn: conn, since: now()})
	}
}

// closeResting closes the connection that has been without a request for the
// longest time, if that is longer than the grace.
func (c *connections) closeResting() {
	if conn := c.takeResting(); conn != nil {
		_ = conn.Close()
	}
}

func (c *connections) takeResting() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.resting.Front()
	if oldest == nil || now().Sub(oldest.Value.(restingConn).since) < restGrace {
		return nil
	}
	conn := c.resting.Remove(oldest).(restingConn).conn
	delete(c.element, conn)
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
	if !l.makeRoom() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &boundedConn{Conn: conn, slots: l.connections.slots}, nil
}

// roomPoll is how often a connection that waits for room looks for one that has
// come to rest.
const roomPoll = 20 * time.Millisecond

// makeRoom takes a slot. It returns false when the listener is closed.
func (l *boundedListener) makeRoom() bool {
	for {
		select {
		case l.connections.slots <- struct{}{}:
			return true
		default:
		}
		l.connections.closeResting()
		select {
		case l.connections.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-time.After(roomPoll):
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
