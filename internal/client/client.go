// Package client is the callers' library of mimosafront. It sends calls that may
// not be repeated under tickets, so that it may send them again itself.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

const (
	// maxAnswerBytes bounds an answer that is read as a whole.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the body of an error.
	maxErrorBytes = 64 << 10
	// defaultAttempts is how often a call is sent at most.
	defaultAttempts = 4
	// defaultDelay is the delay before another attempt.
	defaultDelay = 100 * time.Millisecond
)

// Config describes a Client.
type Config struct {
	// Addresses are base URLs such as http://10.0.0.1:8080, of the balancer or
	// of entry hosts. They are used in turn.
	Addresses []string
	// Hosts are the base URLs of entry hosts by name. A retry goes first to the
	// host that its ticket names, if it stands here.
	Hosts map[string]string
	// Key is the caller's bearer key.
	Key string
	// Tier and Deadline are sent with each request unless they are zero.
	Tier     string
	Deadline time.Duration
	// Attempts bounds how often one call is sent.
	Attempts int
	// Delay is the delay before another attempt.
	Delay time.Duration
	// HTTP may be nil.
	HTTP *http.Client
}

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	config Config
	next   atomic.Uint64
}

// New returns a Client.
func New(c Config) *Client {
	if c.Attempts == 0 {
		c.Attempts = defaultAttempts
	}
	if c.Delay == 0 {
		c.Delay = defaultDelay
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	}
	return &Client{config: c}
}

// address returns the next address in turn.
func (c *Client) address() string {
	n := c.next.Add(1) - 1
	return c.config.Addresses[n%uint64(len(c.config.Addresses))]
}

// Error is a request that was not answered with success.
type Error struct {
	// Code is that of the entry host, or empty if none answered.
	Code    apierror.Code
	Message string
	// Verdict says whether the call may have run, over all attempts.
	Verdict    verdict.Verdict
	Status     int
	RetryAfter time.Duration
	Cause      error
	// anew says that another ticket may help.
	anew bool
}

// Error returns code, verdict and message.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Verdict, e.Message)
	if e.Code != "" {
		text = fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// post sends one request once. An Error says whether any byte of the request may
// have left.
func (c *Client) post(ctx context.Context, method, url string, body []byte, header http.Header) (*http.Response, *Error) {
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Message: err.Error(), Verdict: verdict.NotRun, Cause: err}
	}
	// Without GetBody the transport can't send the request again by itself.
	request.GetBody = nil
	c.setHeader(request, header)
	response, err := c.config.HTTP.Do(request)
	if err == nil {
		return response, nil
	}
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	return nil, &Error{Message: err.Error(), Verdict: v, Cause: err}
}

func (c *Client) setHeader(request *http.Request, header http.Header) {
	for name, values := range header {
		request.Header[name] = values
	}
	if c.config.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	if c.config.Tier != "" {
		request.Header.Set("Mimosa-Tier", c.config.Tier)
	}
	if c.config.Deadline > 0 {
		request.Header.Set("Mimosa-Deadline-Ms", strconv.FormatInt(c.config.Deadline.Milliseconds(), 10))
	}
}

// errorOf reads the error of a response. A response that is none of ours has run
// for all that is known.
func errorOf(response *http.Response) *Error {
	body, readErr := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var decoded apierror.Body
	err := json.Unmarshal(body, &decoded)
	if err != nil || readErr != nil || !decoded.Error.Verdict.Valid() {
		return &Error{
			Status: response.StatusCode, Message: "status " + response.Status,
			Verdict: verdict.MayHaveRun, Cause: errors.Join(readErr, err),
		}
	}
	return &Error{
		Code: decoded.Error.Code, Message: decoded.Error.Message, Verdict: decoded.Error.Verdict,
		Status: response.StatusCode, RetryAfter: time.Duration(decoded.Error.RetryAfterMs) * time.Millisecond,
	}
}
