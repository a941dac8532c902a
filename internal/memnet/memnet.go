// Package memnet is an in-memory TCP network for tests under the fake clock of
// testing/synctest. That clock stands still while a goroutine blocks on a socket, but
// advances while goroutines block on connections of this package.
package memnet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// firstPort is the first port assigned to listeners on port 0.
const firstPort = 20000

// Network holds listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	nextPort  int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, nextPort: firstPort}
}

// Listen opens a listener at an address of the form ip:port. Port 0 assigns a new
// port. The error for an address in use is EADDRINUSE.
func (n *Network) Listen(address string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		port = strconv.Itoa(n.nextPort)
		n.nextPort++
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	l := &listener{
		network: n, address: &net.TCPAddr{IP: net.ParseIP(ip), Port: portNumber},
		conns: make(chan net.Conn), done: make(chan struct{}),
	}
	if n.listeners[l.address.String()] != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, syscall.EADDRINUSE)
	}
	n.listeners[l.address.String()] = l
	return l, nil
}

// DialContext connects to the listener at an address and returns when the connection
// is accepted. It fails with ECONNREFUSED if there is no listener.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := newPipe(&net.TCPAddr{IP: l.address.IP}, l.address)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// listener implements net.Listener. DialContext passes server ends through conns.
type listener struct {
	network *Network
	address *net.TCPAddr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
