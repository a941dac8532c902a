package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// request is what a client sends.
type request struct {
	method, host, path, key, tokens, prefix, body string
	deadline                                      time.Duration
}

// sendEvenly sends requests to a daemon at a constant rate until a time, each on a
// connection of its own or a kept one, without retries.
func (f *fleet) sendEvenly(h *entryHost, perS float64, until time.Time, make func() request) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	f.group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer ticker.Stop()
		for time.Now().Before(until) {
			select {
			case <-f.done:
				return
			case <-ticker.C:
			}
			f.group.Go(func() { f.send(client, h, make()) })
		}
	})
}

// sendInBursts sends requests to a daemon in bursts until a time.
func (f *fleet) sendInBursts(h *entryHost, size int, spacing, pause time.Duration, until time.Time, make func() request) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	f.group.Go(func() {
		for n := 1; time.Now().Before(until); n++ {
			f.group.Go(func() { f.send(client, h, make()) })
			wait := spacing
			if n%size == 0 {
				wait = pause
			}
			select {
			case <-f.done:
				return
			case <-time.After(wait):
			}
		}
	})
}

// send sends one request, records its answer and returns its status, or 0 without a whole
// answer.
func (f *fleet) send(client *http.Client, h *entryHost, q request) (status int) {
	id := fmt.Sprintf("%016x", 0x5c0000+requestNumber.Add(1))
	r, err := http.NewRequest(q.method, "http://"+h.front+q.path, strings.NewReader(q.body))
	if err != nil {
		f.record.add("request %s: %v", id, err)
		return 0
	}
	r.Host = q.host
	r.Header.Set("Request-Id", id)
	r.Header.Set("X-Api-Key", q.key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.tokens != "" {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", q.tokens)
		r.Header.Set("Prompt-Prefix", q.prefix)
	}
	f.record.add("request %s sent to %s", id, h.name)
	f.sent.Store(id, time.Now())
	f.sentTo.Store(id, h.name)
	timer := time.AfterFunc(q.deadline, client.CloseIdleConnections)
	defer timer.Stop()
	response, err := client.Do(r)
	if err != nil {
		f.record.add("request %s gets no answer: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		f.record.add("request %s gets a broken answer, status %d: %v", id, response.StatusCode, err)
		return 0
	}
	f.record.add("request %s gets status %d", id, response.StatusCode)
	return response.StatusCode
}
