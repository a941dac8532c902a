package control

import (
	"context"
	"net"
	"sync"
	"syscall"

	"mimosafront/internal/memnet"
)

// cuttable is a network whose connections can be cut between hosts. Each host uses its own
// end of it.
type cuttable struct {
	*memnet.Network
	mu sync.Mutex
	// sides holds the side of each host; hosts of different sides are cut off from each
	// other.
	sides map[string]int
	// hosts holds the names of hosts by their addresses.
	hosts map[string]string
	// resets is whether a cut resets connections and refuses new ones, in place of losing
	// what is sent.
	resets bool
}

func newCuttable(n *memnet.Network) *cuttable {
	return &cuttable{Network: n, sides: map[string]int{}, hosts: map[string]string{}}
}

// cut puts hosts on a side of their own, 0 being that of all others.
func (c *cuttable) cut(side int, hosts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range hosts {
		c.sides[host] = side
	}
}

func (c *cuttable) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.sides)
}

// apart reports whether a host is cut off from the one at an address.
func (c *cuttable) apart(host, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sides[host] != c.sides[c.hosts[address]]
}

// cuttableEnd is the end of one host.
type cuttableEnd struct {
	*cuttable
	host string
}

// DialContext connects like memnet.Network does; during a cut it waits until ctx ends, or is
// refused.
func (e *cuttableEnd) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if e.apart(e.host, address) {
		if e.resets {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := e.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cuttableConn{Conn: inner, end: e, address: address}, nil
}

// cuttableConn is the dialing end of a connection. It loses what is sent either way during
// a cut, and everything after it.
type cuttableConn struct {
	net.Conn
	end     *cuttableEnd
	address string
	mu      sync.Mutex
	lost    bool
}

func (c *cuttableConn) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || c.end.apart(c.end.host, c.address)
	return c.lost
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isLost() {
			return n, err
		}
		if c.end.resets {
			return 0, c.reset()
		}
	}
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	switch {
	case !c.isLost():
		return c.Conn.Write(p)
	case c.end.resets:
		return 0, c.reset()
	}
	return len(p), nil
}

// reset closes the connection and returns the error of a reset.
func (c *cuttableConn) reset() error {
	_ = c.Conn.Close()
	return syscall.ECONNRESET
}
