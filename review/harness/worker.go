package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a backend server that registers itself in the store.
type worker struct {
	id, service, zone string
	slots             int
	model             bool
	listener          net.Listener
	server            *http.Server
	// stopped ends the renewal of the registration, and ended is closed when it has ended.
	stopped, ended chan struct{}
	endRenewal     sync.Once
}

// startWorker starts a worker that answers its own requests with a handler, and those for
// another instance with 421.
func (f *fleet) startWorker(w *worker, handler http.HandlerFunc) error {
	listener, err := net.Listen("tcp", "127.0.72.1:0")
	if err != nil {
		return err
	}
	w.listener, w.stopped, w.ended = listener, make(chan struct{}), make(chan struct{})
	w.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		out.Header().Set("Request-Id", in.Header.Get("Request-Id"))
		if in.Header.Get("Expect-Instance") != w.id {
			out.Header().Set("Instance-Id", w.id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler(out, in)
	})}
	go func() { _ = w.server.Serve(listener) }()
	go w.renew(f.store)
	f.record.write("worker %s of %s at %s in %s", w.id, w.service, listener.Addr(), w.zone)
	return nil
}

// renew writes the registration of the worker every heartbeat.
func (w *worker) renew(s *store) {
	defer close(w.ended)
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		entry := object{
			"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
		}
		if w.model {
			entry["stage"], entry["models"] = "combined", []object{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		_ = s.put("servers/"+w.id, entry)
		select {
		case <-w.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// leave removes the registration of the worker, which goes on serving.
func (w *worker) leave(s *store) {
	w.endRenewal.Do(func() { close(w.stopped) })
	<-w.ended
	s.remove("servers/" + w.id)
}

func (w *worker) stop() {
	w.endRenewal.Do(func() { close(w.stopped) })
	_ = w.server.Close()
}

// seal returns the signature of a worker's answer to a request.
func (w *worker) seal(id string) string { return fmt.Sprintf("%s.%s", w.id, id) }
