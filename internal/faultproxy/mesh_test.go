package faultproxy

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// answerLines answers each line that a connection brings.
func answerLines(listener net.Listener) {
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

// answers reports whether a host answers another within a time.
func answers(t *testing.T, m *Mesh, from, to string) bool {
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

func TestOverlappingCuts(t *testing.T) {
	addresses := map[string]string{}
	for _, name := range []string{"a1", "b1", "b2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go answerLines(listener)
		addresses[name] = listener.Addr().String()
	}
	m, err := NewMesh(addresses)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	check := func(state string, across bool) {
		t.Helper()
		if answers(t, m, "a1", "b1") != across || answers(t, m, "b1", "a1") != across {
			t.Errorf("%s: the zones reach each other: %t", state, !across)
		}
		if !answers(t, m, "b1", "b2") {
			t.Errorf("%s: b1 doesn't reach b2", state)
		}
	}
	check("before", true)
	zone := m.Partition(func(host string) bool { return host[0] == 'b' })
	way := m.CutOneWay("a1", "b1")
	check("both cuts", false)
	zone()
	check("one way cut left", false)
	way()
	check("healed", true)
}
