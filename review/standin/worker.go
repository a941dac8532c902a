package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// worker stands in for a backend server. handle serves one request on a connection and
// reports whether the connection stays open.
type worker struct {
	id, service, zone string
	slots             int
	engine            bool
	listener          net.Listener
	born              int64
	sequence          atomic.Int64
	handle            func(w *worker, c *workerConn, r *http.Request) bool
}

// workerConn is one connection to a worker.
type workerConn struct {
	net.Conn
	reader *bufio.Reader
}

// receiveBuffer makes the windows of workers small, as on the platform's links.
const receiveBuffer = 64 << 10

// startWorker starts a worker on a free port of a loopback address. The caller registers
// it.
func startWorker(w *worker) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	var err error
	if w.listener, err = config.Listen(context.Background(), "tcp", ipOf(0)+":0"); err != nil {
		return err
	}
	w.born = time.Now().UnixMilli()
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.serve(&workerConn{Conn: conn, reader: bufio.NewReader(conn)})
		}
	}()
	return nil
}

// registration returns the entry that the worker writes to the store.
func (w *worker) registration(state string) map[string]any {
	entry := map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": 1, "slots": w.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": w.sequence.Add(1), "born": w.born,
	}
	if w.engine {
		entry["stage"] = "combined"
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return entry
}

func (w *worker) serve(c *workerConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			c.answer(r, 421, "Instance-Id: "+w.id+"\r\n", "")
			return
		}
		if !w.handle(w, c, r) {
			return
		}
	}
}

// answer writes a whole answer with a length.
func (c *workerConn) answer(r *http.Request, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %s\r\n%s\r\n%s", status, http.StatusText(status),
		r.Header.Get("Request-Id"), strconv.Itoa(len(body)), headers, body)
}

// seal returns the header that marks an answer as the worker's own.
func (w *worker) seal(r *http.Request) string {
	return "Origin-Seal: " + w.id + "." + r.Header.Get("Request-Id") + "\r\n"
}
