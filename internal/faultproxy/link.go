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
	// maxChunkBytes is the size of the read buffer and so of the largest chunk.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks limits the chunks of one direction that wait to be written.
	maxQueuedChunks = 64
)

// link is one proxied connection: a client's connection and one to the target.
type link struct {
	client net.Conn
	target net.Conn
	// done is closed when the link is closed.
	done chan struct{}
	once sync.Once

	mu sync.Mutex
	// faults are those of each Direction.
	faults [2]Faults
}

// chunk is data to be written at the time due, or the end of the stream if data is nil.
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

// run forwards both directions and returns when the link is closed.
func (l *link) run() {
	var group conc.WaitGroup
	group.Go(func() { l.forward(ToTarget, l.client, l.target) })
	group.Go(func() { l.forward(ToClient, l.target, l.client) })
	group.Wait()
	l.close(closeOrderly)
}

// close closes both connections, with a TCP reset if mode is closeReset. Only the first
// call has an effect.
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

// resetConn closes a TCP connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// forward reads one direction and queues its chunks for a writer, so that a delay adds
// latency but does not reduce the throughput.
func (l *link) forward(d Direction, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer conc.WaitGroup
	writer.Go(func() { l.write(d, to, queue) })
	l.read(d, from, queue)
	close(queue)
	writer.Wait()
}

// read queues the data of one direction as chunks. With a throughput limit a chunk's
// delay starts when the chunk before it is due.
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

// enqueue reports false if the link was closed first.
func (l *link) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

// handleReadError forwards the end of a stream, and resets the link on other errors. A
// direction with Blackhole hides both.
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

// write writes chunks at the time they are due and closes the link at the byte limits
// of the faults.
func (l *link) write(d Direction, to net.Conn, queue <-chan chunk) {
	sent := 0
	for c := range queue {
		if !l.waitUntil(c.due) {
			return
		}
		faults := l.faultsOf(d)
		if faults.Blackhole {
			continue
		}
		if c.data == nil {
			closeWrite(to)
			continue
		}
		allowed, then := faults.limit(sent, len(c.data))
		if _, err := to.Write(c.data[:allowed]); err != nil {
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

// waitUntil reports false if the link was closed first.
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
