package faultproxy

import (
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// Link is the way on which From dials To.
type Link struct{ From, To string }

// Mesh stands between all hosts of a fleet: a proxy for each ordered pair. Cuts
// may overlap; a direction passes bytes again once all its cuts have ended. Its
// methods are safe for concurrent use.
type Mesh struct {
	links map[Link]*Proxy
	// unresponsive accepts connections and never answers. Hosts that advertise it
	// reach each other through the proxies alone.
	unresponsive net.Listener
	group        conc.WaitGroup

	mu sync.Mutex
	// cuts counts the cuts of each direction of each link.
	cuts map[Link]*[2]int
	// linkFaults are the faults of links that aren't cut.
	linkFaults map[Link]Faults
}

// NewMesh starts the proxies for hosts, given their names and addresses.
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

// acceptWithoutReply accepts connections, and keeps them open, until the listener is
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

// Addr returns the address at which a host reaches another.
func (m *Mesh) Addr(from, to string) string { return m.links[Link{from, to}].Addr() }

// UnresponsiveAddr returns the address for hosts to advertise.
func (m *Mesh) UnresponsiveAddr() string { return m.unresponsive.Addr().String() }

// SetLinkFaults sets the faults that each link has in both directions while it isn't cut.
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

// apply sets the faults of one direction of a link. The caller holds the lock.
func (m *Mesh) apply(link Link, d Direction) {
	faults := m.linkFaults[link]
	faults.Blackhole = faults.Blackhole || m.cuts[link][d] > 0
	m.links[link].Set(d, All, faults)
}

// Partition cuts all links between the hosts inside and the others, until the
// result is called.
func (m *Mesh) Partition(inside func(host string) bool) (heal func()) {
	var heals []func()
	for link := range m.links {
		if inside(link.From) != inside(link.To) {
			heals = append(heals, m.cutDirection(link, ToTarget), m.cutDirection(link, ToClient))
		}
	}
	return callAll(heals)
}

// CutOneWay swallows all that one host sends to another, whoever dialed, until
// the result is called.
func (m *Mesh) CutOneWay(from, to string) (heal func()) {
	return callAll([]func(){m.cutDirection(Link{from, to}, ToTarget), m.cutDirection(Link{to, from}, ToClient)})
}

// BlackholeOpen makes the open connections between hosts inside silent for good.
// New ones work.
func (m *Mesh) BlackholeOpen(inside func(host string) bool) {
	for link, p := range m.links {
		if inside(link.From) && inside(link.To) {
			p.Blackhole(ExistingOnly)
		}
	}
}

func callAll(heals []func()) func() {
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// cutDirection swallows one direction of a link and returns what ends the cut. The last
// cut to end resets the open connections, which have lost bytes.
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

// Close stops all proxies.
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
