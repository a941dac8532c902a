// Package faultproxy is a TCP proxy for tests that breaks connections on
// demand: it refuses, resets, cuts, silences, delays or slows them, in each
// direction, for open connections, new ones or both.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"mimosafront/internal/loopback"
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Proxy forwards connections from a loopback address to a target. Its methods
// are safe for concurrent use.
type Proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	address  string
	faults   [2]Faults
	refusing bool
	links    map[*link]struct{}
	accepted int
	closed   bool
}

// New starts a proxy on a free loopback port.
func New(target string) (*Proxy, error) {
	p := &Proxy{target: target, address: net.JoinHostPort(loopback.IP(loopback.ProxyNumber), "0"), links: map[*link]struct{}{}}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Addr returns ip:port of the proxy, also while it refuses connections.
func (p *Proxy) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// OpenConnections returns the number of open connections.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Set applies faults to one direction of the connections in scope.
func (p *Proxy) Set(d Direction, scope Scope, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if scope != ExistingOnly {
		p.faults[d] = f
	}
	if scope == NewOnly {
		return
	}
	for l := range p.links {
		l.setFaults(d, f)
	}
}

// ClearFaults ends all faults, also those of open connections. Bytes that were
// swallowed stay lost.
func (p *Proxy) ClearFaults() error {
	p.Set(ToTarget, All, Faults{})
	p.Set(ToClient, All, Faults{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refusing {
		return nil
	}
	return p.listen()
}

// Blackhole swallows the bytes of both directions of the connections in scope.
func (p *Proxy) Blackhole(scope Scope) {
	p.Set(ToTarget, scope, Faults{Blackhole: true})
	p.Set(ToClient, scope, Faults{Blackhole: true})
}

// Refuse closes the listener, so that new connections are refused. Open ones
// stay.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
	_ = p.listener.Close()
}

// ResetConnections resets all open connections now.
func (p *Proxy) ResetConnections() {
	for _, l := range p.openLinks() {
		l.close(closeReset)
	}
}

// CloseConnections closes all open connections in order now.
func (p *Proxy) CloseConnections() {
	for _, l := range p.openLinks() {
		l.close(closeOrderly)
	}
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.CloseConnections()
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// listen opens the listener on the proxy's address. The caller holds the lock,
// or the proxy is not shared yet.
func (p *Proxy) listen() error {
	listener, err := loopback.Listen(p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	p.address = listener.Addr().String()
	p.refusing = false
	go p.accept(listener)
	return nil
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect dials the target and forwards until either side ends. While the
// target can't be reached, the client is reset.
func (p *Proxy) connect(client net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	l := newLink(client, target)
	p.mu.Lock()
	p.accepted++
	l.faults = p.faults
	closed := p.closed
	if !closed {
		p.links[l] = struct{}{}
	}
	p.mu.Unlock()
	if closed {
		l.close(closeOrderly)
		return
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}
