package main

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// newID returns a Request-Id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newClient returns an HTTP client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
}

// send makes one attempt of a client.
func send(client *http.Client, address, method, path, id string, deadline time.Duration, body io.Reader, headers map[string]string) outcome {
	r, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return outcome{err: err}
	}
	if paced, ok := body.(*pacedBody); ok {
		r.ContentLength = int64(len(paced.m.body))
	}
	r.Host = hostName
	r.Header.Set("Request-Id", id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, header: response.Header, body: text, err: err}
}
