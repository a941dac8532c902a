package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxChunkBytes is the largest piece of data that is forwarded at once.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the pieces in flight of one direction.
	maxQueuedChunks = 64
)

// link is one proxied connection.
type link struct {
	client net.Conn
	target net.Conn
	done   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	faults [2]Faults
}

// chunk is data on its way, or the end of the stream if data is nil.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(client, target net.Conn) *link {
	return &link{client: client, target: target, done: make(chan struct{})}
}

func (l *link) setFaults(d Direction, f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[d] = f
}

func (l *link) faultsOf(d Direction) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[d]
}

// run forwards both directions and returns when the connection has ended.
func (l *link) run() {
	var group conc.WaitGroup
	group.Go(func() { l.forward(ToTarget, l.client, l.target) })
	group.Go(func() { l.forward(ToClient, l.target, l.client) })
	group.Wait()
	l.close(closeOrderly)
}

// streamEnd closes both sides, by a reset if asked for.
func (l *link) close(mode closeMode) {
	l.once.Do(func() {
		close(l.done)
		if mode == closeReset {
			resetConn(l.client)
			resetConn(l.target)
			return
		}
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

// resetConn closes a connection so that the other end sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// forward reads one direction and hands its pieces to a writer, so that a delay
// holds data back without slowing it.
func (l *link) forward(d Direction, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer conc.WaitGroup
	writer.Go(func() { l.write(d, to, queue) })
	l.read(d, from, queue)
	close(queue)
	writer.Wait()
}

func (l *link) read(d Direction, from net.Conn, queue chan<- chunk) {
	buffer := make([]byte, maxChunkBytes)
	var lastDue time.Time
	for {
		n, err := from.Read(buffer)
		faults := l.faultsOf(d)
		if n > 0 && !faults.Blackhole {
			now := time.Now()
			start := now
			if faults.BytesPerSecond > 0 && lastDue.After(now) {
				start = lastDue
			}
			next := chunk{data: append([]byte(nil), buffer[:n]...), due: start.Add(faults.delayOf(n))}
			lastDue = next.due
			if !l.enqueue(queue, next) {
				return
			}
		}
		if err != nil {
			l.handleReadError(faults, err, queue)
			return
		}
	}
}

func (l *link) enqueue(queue chan<- chunk, p chunk) bool {
	select {
	case queue <- p:
		return true
	case <-l.done:
		return false
	}
}

// handleReadError passes the end of a stream on. A silent direction hides it.
func (l *link) handleReadError(faults Faults, err error, queue chan<- chunk) {
	if faults.Blackhole {
		<-l.done
		return
	}
	if !errors.Is(err, io.EOF) {
		l.close(closeReset)
		return
	}
	l.enqueue(queue, chunk{})
}

func (l *link) write(d Direction, to net.Conn, queue <-chan chunk) {
	sent := 0
	for p := range queue {
		if !l.waitUntil(p.due) {
			return
		}
		faults := l.faultsOf(d)
		if faults.Blackhole {
			continue
		}
		if p.data == nil {
			closeWrite(to)
			continue
		}
		allowed, then := faults.limit(sent, len(p.data))
		if _, err := to.Write(p.data[:allowed]); err != nil {
			l.close(closeReset)
			return
		}
		sent += allowed
		if then != closeNone {
			l.close(then)
			return
		}
	}
}

func (l *link) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
