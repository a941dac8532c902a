// Package faultproxy is a TCP proxy for tests that injects network faults. It refuses,
// resets or closes connections, or drops, delays or throttles their bytes in each
// direction, for open connections, new ones or both. A Mesh of such proxies injects
// network partitions between hosts.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"mimosafront/internal/loopback"
)

// dialTimeout is the timeout for connecting to the target.
const dialTimeout = 5 * time.Second

// Proxy forwards connections from a loopback address to a target. Its methods
// are safe for concurrent use.
type Proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	address  string
	// faults are those of new connections, by Direction.
	faults   [2]Faults
	refusing bool
	links    map[*link]struct{}
	accepted int
	closed   bool
}

// New starts a proxy for a target, ip:port, on a free loopback port.
func New(target string) (*Proxy, error) {
	p := &Proxy{target: target, address: net.JoinHostPort(loopback.IP(loopback.ProxyNumber), "0"), links: map[*link]struct{}{}}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Addr returns the proxy's address, ip:port, also while it refuses connections.
func (p *Proxy) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Accepted returns the number of connections forwarded to the target so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// OpenConnections returns the number of connections being forwarded.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Set replaces the faults of one direction of the connections in scope.
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

// ClearFaults removes all faults, also those of open connections, and accepts
// connections again after Refuse. Bytes dropped before stay lost.
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

// Blackhole drops the bytes of both directions of the connections in scope.
func (p *Proxy) Blackhole(scope Scope) {
	p.Set(ToTarget, scope, Faults{Blackhole: true})
	p.Set(ToClient, scope, Faults{Blackhole: true})
}

// Refuse closes the listener, so that new connections are refused. Open connections
// are not affected.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
	_ = p.listener.Close()
}

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	for _, l := range p.openLinks() {
		l.close(closeReset)
	}
}

// CloseConnections closes all open connections without a reset.
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

// openLinks returns a copy of the set of open links.
func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// listen opens the listener on the proxy's address and starts to accept. The caller
// holds mu, or the proxy is not shared yet.
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

// connect dials the target and forwards data until the connection ends. If the target
// can't be reached, the client's connection is reset.
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
