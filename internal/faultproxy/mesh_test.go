package faultproxy

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// echoLines accepts connections and sends back each line received.
func echoLines(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for lines := bufio.NewScanner(conn); lines.Scan(); {
				fmt.Fprintln(conn, lines.Text())
			}
		}()
	}
}

// isAnswered reports whether host to answers a line from host from within 200 ms.
func isAnswered(t *testing.T, m *Mesh, from, to string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", m.Addr(from, to))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintln(conn, "hello")
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	return bufio.NewScanner(conn).Scan()
}

// TestOverlappingCuts checks that a direction is cut until the last of its cuts ends,
// and that other links are not affected.
func TestOverlappingCuts(t *testing.T) {
	addresses := map[string]string{}
	for _, name := range []string{"a1", "b1", "b2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go echoLines(listener)
		addresses[name] = listener.Addr().String()
	}
	m, err := NewMesh(addresses)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	check := func(state string, connected bool) {
		t.Helper()
		if isAnswered(t, m, "a1", "b1") != connected || isAnswered(t, m, "b1", "a1") != connected {
			t.Errorf("%s: the zones reach each other: %t", state, !connected)
		}
		if !isAnswered(t, m, "b1", "b2") {
			t.Errorf("%s: b1 doesn't reach b2", state)
		}
	}
	check("before the cuts", true)
	healZone := m.Partition(func(host string) bool { return host[0] == 'b' })
	healOneWay := m.CutOneWay("a1", "b1")
	check("partition and one-way cut", false)
	healZone()
	check("one-way cut only", false)
	healOneWay()
	check("healed", true)
}
