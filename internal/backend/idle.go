package backend

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosafront/internal/policy"
)

const (
	// maxIdlePerServer limits the idle connections to one server. It is the usual
	// number of concurrent requests from one entry host to one server.
	maxIdlePerServer = 4
	// idleMargin is subtracted from the keep-alive timeout of the server. It exceeds
	// the time that a request takes to arrive, so that no request is sent on a
	// connection which the server is closing.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections whose server states none.
	defaultIdleTimeout = 250 * time.Millisecond
	// maxRefused is the number of refusals after which a connection is not reused.
	maxRefused = 8
)

// IdleConns is a pool of idle connections to backend servers. It is safe for
// concurrent use.
type IdleConns struct {
	mu sync.Mutex
	// conns are the connections by server address, the last used ones last.
	conns map[string][]idleConn
}

// idleConn is an open connection without a request in progress.
type idleConn struct {
	raw net.Conn
	// serverName names the server at the other end: another server may get the address
	// of an earlier one.
	serverName string
	expiry     time.Time
	// refused are the ids of the requests that were refused on the connection.
	refused []string
}

// NewIdleConns returns an empty pool.
func NewIdleConns() *IdleConns { return &IdleConns{conns: map[string][]idleConn{}} }

// take removes and returns the most recently used connection to a server, for the request
// with the given id. It closes connections that are expired, closed by the server or have
// unread bytes. A connection on which that request was refused is closed too: a faulty
// server may write the refusal once more, which then can't be told from the answer.
func (i *IdleConns) take(server policy.Server, id string) (idleConn, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	conns := i.conns[server.Address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		i.conns[server.Address] = conns
		if last.serverName == server.Name && time.Now().Before(last.expiry) && !slices.Contains(last.refused, id) && isIdle(last.raw) {
			return last, true
		}
		_ = last.raw.Close()
	}
	delete(i.conns, server.Address)
	return idleConn{}, false
}

// put adds a connection after an answer with the given header. It reports false if
// the connection can't be reused.
func (i *IdleConns) put(c *Conn, header http.Header) bool {
	idleTimeout := keepAliveTimeout(header)
	if idleTimeout <= 0 || !c.stopWatch() {
		return false
	}
	if c.raw.SetDeadline(time.Time{}) != nil {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	conns := i.conns[c.server.Address]
	if len(conns) >= maxIdlePerServer {
		_ = conns[0].raw.Close()
		conns = append(conns[:0], conns[1:]...)
	}
	i.conns[c.server.Address] = append(conns, idleConn{raw: c.raw, serverName: c.server.Name, expiry: time.Now().Add(idleTimeout), refused: c.refused})
	return true
}

// Retain closes expired connections and those to servers other than the given ones,
// which are keyed by name.
func (i *IdleConns) Retain(servers map[string]policy.Server) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for address, conns := range i.conns {
		kept := conns[:0]
		for _, c := range conns {
			if _, ok := servers[c.serverName]; ok && time.Now().Before(c.expiry) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		if i.conns[address] = kept; len(kept) == 0 {
			delete(i.conns, address)
		}
	}
}

// keepAliveTimeout returns how long a connection may be idle after an answer, from the
// timeout in the Keep-Alive header. It is zero or negative if the server closes idle
// connections within idleMargin.
func keepAliveTimeout(header http.Header) time.Duration {
	value := header.Get("Keep-Alive")
	if value == "" {
		return defaultIdleTimeout
	}
	for part := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(seconds); name == "timeout" && err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// isIdle reports whether a connection is open and has no unread bytes. Connections
// other than sockets are taken for idle.
func isIdle(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
