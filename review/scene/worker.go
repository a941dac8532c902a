package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	standins "mimosafront/internal/standin"
)

// heartbeat is how often a worker renews its registration.
const heartbeat = 1200 * time.Millisecond

// worker is a sound worker of a model service.
type worker struct {
	fleet             *fleet
	id, zone, service string
	slots             int
	workTime          time.Duration
	born              time.Time
	// plain is set for a worker of a plain service.
	plain  bool
	server *standins.Server
	places chan struct{}

	mu        sync.Mutex
	sequence  int
	down      bool
	coldUntil time.Time
	// Until refuseUntil, requests are turned away after refuseDelay.
	refuseUntil time.Time
	refuseDelay time.Duration
	// limit, if positive, is named in all answers, in requests per second; firstNamed is when
	// it first was.
	limit      float64
	firstNamed time.Time
	// refusals are the times of the answers that turned requests away, with the requests.
	refusals []refusal
	// arrivals are the requests that came, without those that got 421.
	arrivals []arrival
}

// arrival is a request with the times at which its client sent it and it came to a worker.
type arrival struct {
	id         string
	sent, came time.Time
}

// refusal is an answer that asked a daemon to send nothing until a time.
type refusal struct {
	id        string
	at, until time.Time
}

// addWorker starts a worker and registers it until the fleet is closed.
func (f *fleet) addWorker(id, zone, service string, plain bool, slots int, workTime time.Duration) (*worker, error) {
	w := &worker{
		fleet: f, id: id, plain: plain, zone: zone, service: service, slots: slots, workTime: workTime, born: time.Now(),
		places: make(chan struct{}, slots),
	}
	w.server = standins.NewServer(w)
	if err := w.server.Start(""); err != nil {
		return nil, err
	}
	f.workers = append(f.workers, w)
	w.register()
	f.group.Go(func() {
		for {
			select {
			case <-f.done:
				return
			case <-time.After(heartbeat):
				w.register()
			}
		}
	})
	return w, nil
}

func (w *worker) close() { w.server.Kill() }

// register writes the registration.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.server.Address(), "zone": w.zone, "version": "1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": max(time.Until(w.coldUntil), 0).Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if !w.plain {
		entry["stage"], entry["models"] = "combined", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.fleet.write("servers/"+w.id, entry)
}

// crash ends the worker's process.
func (w *worker) crash() {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	w.fleet.record.add("worker %s crashes", w.id)
	w.server.Kill()
}

// start starts it again under its id and address. It registers when it next renews its
// registration.
func (w *worker) start() error {
	if err := w.server.Start(""); err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.sequence = time.Now(), 0
	w.mu.Unlock()
	w.fleet.record.add("worker %s has started again", w.id)
	go func() {
		time.Sleep(heartbeat)
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		w.register()
		w.fleet.record.add("worker %s registers its new process", w.id)
	}()
	return nil
}

// turnAway makes the worker turn requests away for a time, with 503 and Retry-After.
func (w *worker) turnAway(d, answerTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuseUntil, w.refuseDelay = time.Now().Add(d), answerTime
}

// refuses turns a request away if the worker wants none now.
func (w *worker) refuses(rw http.ResponseWriter, id string) bool {
	w.mu.Lock()
	until, delay := w.refuseUntil, w.refuseDelay
	w.mu.Unlock()
	if !time.Now().Before(until) {
		return false
	}
	time.Sleep(delay)
	left := max(time.Until(until), 0)
	w.mu.Lock()
	w.refusals = append(w.refusals, refusal{id: id, at: time.Now(), until: time.Now().Add(left)})
	w.mu.Unlock()
	w.fleet.record.add("worker %s turns request %s away: 503, Retry-After %.3f", w.id, id, left.Seconds())
	rw.Header().Set("Not-Executed", "1")
	rw.Header().Set("Retry-After", fmt.Sprintf("%.3f", left.Seconds()))
	rw.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// turnCold makes the worker cold for a time and says so at once.
func (w *worker) turnCold(d time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(d)
	w.mu.Unlock()
	w.fleet.record.add("worker %s turns cold for %s and registers it", w.id, d)
	w.register()
}

// arrivalsBetween returns the requests that came within an interval.
func (w *worker) arrivalsBetween(from, to time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []arrival
	for _, a := range w.arrivals {
		if !a.came.Before(from) && a.came.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

// ServeHTTP answers the health check, the report and requests of the service.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	cold, limit := max(time.Until(w.coldUntil), 0), w.limit
	if limit > 0 && w.firstNamed.IsZero() {
		w.firstNamed = time.Now()
	}
	w.mu.Unlock()
	header := rw.Header()
	if limit > 0 {
		header.Set("Server-Limit", fmt.Sprint(limit))
	}
	header.Set("Keep-Alive", "timeout=5")
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	switch r.URL.Path {
	case "/health":
		header.Set("Instance-Id", w.id)
		header.Set("Cold-Ms", fmt.Sprint(cold.Milliseconds()))
		return
	case "/api/report":
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":%d,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, len(w.places), w.born.UnixMilli())
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	came := arrival{id: id, came: time.Now()}
	if sent, ok := w.fleet.sent.Load(id); ok {
		came.sent = sent.(time.Time)
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, came)
	w.mu.Unlock()
	w.fleet.record.add("request %s reaches worker %s (cold for %d ms more)", id, w.id, cold.Milliseconds())
	if w.refuses(rw, id) {
		return
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-r.Context().Done():
		return
	}
	if w.plain {
		w.answer(rw, r)
	} else {
		w.stream(rw, r)
	}
	w.fleet.record.add("request %s has run at worker %s", id, w.id)
}

// answer answers with a whole body.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(w.workTime):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Origin-Seal", w.id+"."+r.Header.Get("Request-Id"))
	fmt.Fprintf(rw, "the answer to %s", r.Header.Get("Request-Id"))
}

// stream answers with three events.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Origin-Seal", w.id+"."+r.Header.Get("Request-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	const events = 3
	for n := 1; n <= events; n++ {
		select {
		case <-time.After(w.workTime / events):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(rw).Flush()
	}
}
