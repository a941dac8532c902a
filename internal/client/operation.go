package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"mimosafront/internal/apierror"
	"mimosafront/internal/operation"
	"mimosafront/internal/sleep"
	"mimosafront/internal/verdict"
)

// Call is a call of a plain service that may not be repeated.
type Call struct {
	Service string
	Method  string
	// Path begins with a slash, below the service's root.
	Path        string
	Body        []byte
	ContentType string
}

// Answer is what a service answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts counts how often the call was sent.
	Attempts int
}

// Do sends a call under a ticket until it is known to have run, or not to. The
// error's verdict is that of the call over all attempts: "not run" only if no
// attempt can run any more.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, *Error) {
	attempts := 0
	var last *Error
	for attempts < c.config.Attempts {
		ticket, err := c.mint(ctx, call.Service)
		if err != nil {
			return nil, err
		}
		t := &ticketed{client: c, call: call, ticket: ticket}
		answer, err := t.run(ctx, c.config.Attempts-attempts)
		attempts += t.attempts
		if err == nil {
			answer.Attempts = attempts
			return answer, nil
		}
		last = err
		if err.Verdict != verdict.NotRun || !retryable(err) || !sleep.For(ctx, max(c.config.Delay, err.RetryAfter)) {
			break
		}
	}
	return nil, last
}

// retryable reports whether another ticket may help a call that did not run.
func retryable(err *Error) bool {
	return err.anew || err.Status == 0 || err.Status == http.StatusServiceUnavailable || err.Status == http.StatusTooManyRequests
}

// mint fetches a ticket. A lost ticket harms nothing, so this is repeated freely.
func (c *Client) mint(ctx context.Context, service string) (string, *Error) {
	var last *Error
	for range c.config.Attempts {
		response, err := c.post(ctx, http.MethodPost, c.address()+"/services/"+service+"/tickets", nil, nil)
		if err == nil {
			var ticket string
			if ticket, err = readTicket(response); err == nil {
				return ticket, nil
			}
			if err.Status != 0 && !retryable(err) {
				err.Verdict = verdict.NotRun
				return "", err
			}
		}
		last = err
		if !sleep.For(ctx, max(c.config.Delay, err.RetryAfter)) {
			break
		}
	}
	last.Verdict = verdict.NotRun
	return "", last
}

func readTicket(response *http.Response) (string, *Error) {
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		return "", errorOf(response)
	}
	var body struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body); err != nil {
		return "", &Error{Message: "the ticket can't be read", Cause: err}
	}
	return body.Ticket, nil
}

// ticketed is one call under one ticket.
type ticketed struct {
	client   *Client
	call     Call
	ticket   string
	attempts int
	// sent says that an attempt may have reached an entry host and that its
	// outcome is unknown.
	sent bool
}

// run sends the call until its outcome is known or the attempts are spent.
func (t *ticketed) run(ctx context.Context, attempts int) (*Answer, *Error) {
	var last *Error
	for t.attempts < attempts {
		answer, err := t.attempt(ctx)
		if err == nil || err.Verdict != verdict.MayHaveRun {
			return answer, err
		}
		last = err
		if !sleep.For(ctx, t.client.config.Delay) {
			break
		}
	}
	return nil, last
}

// attempt sends the call once. An error with verdict NotRun is final: no attempt
// ran, and none will.
func (t *ticketed) attempt(ctx context.Context) (*Answer, *Error) {
	t.attempts++
	header := http.Header{operation.HeaderTicket: {t.ticket}}
	if t.call.ContentType != "" {
		header.Set("Content-Type", t.call.ContentType)
	}
	url := t.address() + "/services/" + t.call.Service + t.call.Path
	response, err := t.client.post(ctx, t.call.Method, url, t.call.Body, header)
	if err != nil {
		return nil, t.join(err, operation.StateUnknown)
	}
	defer response.Body.Close()
	if verdict.Verdict(response.Header.Get("Mimosa-Verdict")) != verdict.Ran {
		return nil, t.join(errorOf(response), operation.State(response.Header.Get(operation.HeaderState)))
	}
	body, readErr := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if readErr != nil {
		return nil, t.join(&Error{Message: "the answer was cut", Verdict: verdict.MayHaveRun, Cause: readErr}, operation.StateUnknown)
	}
	if err := notKept(response, body); err != nil {
		return nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// notKept returns the error of a call that ran, but whose answer the entry host
// no longer has. Any other answer is the service's own.
func notKept(response *http.Response, body []byte) *Error {
	var decoded apierror.Body
	if response.StatusCode < http.StatusBadRequest || json.Unmarshal(body, &decoded) != nil {
		return nil
	}
	if decoded.Error.Code != apierror.CodeAnswerNotKept {
		return nil
	}
	return &Error{
		Code: decoded.Error.Code, Message: decoded.Error.Message, Verdict: verdict.Ran, Status: response.StatusCode,
	}
}

// join adds what earlier attempts leave open to the error of one attempt. A
// refusal concerns its own attempt alone, unless the entry host says that the
// ticket is void.
func (t *ticketed) join(err *Error, state operation.State) *Error {
	if state == operation.StateNotSent && !t.sent {
		err.Verdict, err.anew = verdict.NotRun, true
		return err
	}
	if err.Verdict == verdict.NotRun && state != operation.StateVoid && t.sent {
		err.Verdict = verdict.MayHaveRun
	}
	if err.Verdict == verdict.MayHaveRun && state != operation.StateNotSent {
		t.sent = true
	}
	return err
}

// address returns where the next attempt goes: to the host that accepted the
// ticket as long as it is known, and from then on also through the others.
func (t *ticketed) address() string {
	host := ""
	if ticket, err := operation.ParseTicket(t.ticket); err == nil {
		host = t.client.config.Hosts[ticket.Host]
	}
	if host != "" && t.attempts%2 == 1 {
		return host
	}
	return t.client.address()
}

// IsUnknown reports whether a call may have run.
func IsUnknown(err *Error) bool {
	return err != nil && err.Verdict == verdict.MayHaveRun
}
