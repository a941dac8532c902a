package faultproxy

import (
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// Link identifies the connections that host From dials to host To.
type Link struct{ From, To string }

// Mesh connects hosts through one proxy for each ordered pair and injects partitions.
// Cuts may overlap; a direction forwards bytes again when all its cuts have ended. Its
// methods are safe for concurrent use.
type Mesh struct {
	links map[Link]*Proxy
	// unresponsive accepts connections and never answers. Hosts that advertise its
	// address reach each other only through the proxies.
	unresponsive net.Listener
	group        conc.WaitGroup

	mu sync.Mutex
	// cuts is the number of cuts in each direction of each link, by Direction.
	cuts map[Link]*[2]int
	// linkFaults are the faults of each link apart from cuts.
	linkFaults map[Link]Faults
}

// NewMesh starts the proxies for hosts, given their addresses, ip:port, by name.
func NewMesh(addresses map[string]string) (*Mesh, error) {
	m := &Mesh{links: map[Link]*Proxy{}, cuts: map[Link]*[2]int{}, linkFaults: map[Link]Faults{}}
	if err := m.start(addresses); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

func (m *Mesh) start(addresses map[string]string) error {
	var err error
	if m.unresponsive, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	m.group.Go(func() { acceptWithoutReply(m.unresponsive) })
	for from := range addresses {
		for to, address := range addresses {
			if from == to {
				continue
			}
			link := Link{from, to}
			if m.links[link], err = New(address); err != nil {
				return err
			}
			m.cuts[link] = &[2]int{}
		}
	}
	return nil
}

// acceptWithoutReply accepts connections and keeps them open until the listener is
// closed.
func acceptWithoutReply(listener net.Listener) {
	var conns []net.Conn
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Addr returns the address, ip:port, of the proxy through which host from reaches
// host to.
func (m *Mesh) Addr(from, to string) string { return m.links[Link{from, to}].Addr() }

// UnresponsiveAddr returns an address that accepts connections and never answers. Hosts
// advertise it so that they reach each other only through the proxies.
func (m *Mesh) UnresponsiveAddr() string { return m.unresponsive.Addr().String() }

// SetLinkFaults sets the faults of both directions of each link. Cuts are added to them.
func (m *Mesh) SetLinkFaults(faults func(Link) Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for link := range m.links {
		m.linkFaults[link] = faults(link)
		for d := range m.cuts[link] {
			m.apply(link, Direction(d))
		}
	}
}

// apply sets the faults of one direction of a link at its proxy. The caller holds mu.
func (m *Mesh) apply(link Link, d Direction) {
	faults := m.linkFaults[link]
	faults.Blackhole = faults.Blackhole || m.cuts[link][d] > 0
	m.links[link].Set(d, All, faults)
}

// Partition cuts all links between the hosts for which inside returns true and the
// other hosts, until heal is called.
func (m *Mesh) Partition(inside func(host string) bool) (heal func()) {
	var heals []func()
	for link := range m.links {
		if inside(link.From) != inside(link.To) {
			heals = append(heals, m.cutDirection(link, ToTarget), m.cutDirection(link, ToClient))
		}
	}
	return callAll(heals)
}

// CutOneWay drops all data that one host sends to another, on connections dialed by
// either, until heal is called.
func (m *Mesh) CutOneWay(from, to string) (heal func()) {
	return callAll([]func(){m.cutDirection(Link{from, to}, ToTarget), m.cutDirection(Link{to, from}, ToClient)})
}

// BlackholeOpen drops all further data of the open connections between hosts for which
// inside returns true. New connections are not affected.
func (m *Mesh) BlackholeOpen(inside func(host string) bool) {
	for link, p := range m.links {
		if inside(link.From) && inside(link.To) {
			p.Blackhole(ExistingOnly)
		}
	}
}

// callAll returns a function that calls all heals.
func callAll(heals []func()) func() {
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// cutDirection drops the data of one direction of a link and returns a function that
// ends the cut. The end of the last cut resets the open connections, which have lost
// bytes.
func (m *Mesh) cutDirection(link Link, d Direction) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[link][d]++
	m.apply(link, d)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.cuts[link][d]--; m.cuts[link][d] == 0 {
			m.links[link].ResetConnections()
			m.apply(link, d)
		}
	}
}

// Close stops all proxies and closes their connections.
func (m *Mesh) Close() {
	for _, p := range m.links {
		if p != nil {
			p.Close()
		}
	}
	if m.unresponsive != nil {
		_ = m.unresponsive.Close()
	}
	m.group.Wait()
}
