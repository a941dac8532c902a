package confsource

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mimosafront/internal/settings"
	"mimosafront/internal/sleep"
)

const (
	// initialDelay and maxDelay are the bounds of the backoff after failed calls.
	initialDelay = 200 * time.Millisecond
	maxDelay     = 15 * time.Second
	// delayFactor multiplies the delay after each failure; delayJitter randomizes it
	// by this share in both directions.
	delayFactor = 2
	delayJitter = 0.5
	// maxRetryAfter caps the delay of a Retry-After header.
	maxRetryAfter = 30 * time.Second
	// watchGrace is added to the wait time of a watch to get its timeout.
	watchGrace = 2 * time.Second
)

// versionedValue is the value of a key and the service's version number for it.
type versionedValue struct {
	version int
	body    []byte
}

// errUnchanged is returned by a watch that timed out without a change.
var errUnchanged = errors.New("unchanged")

// busyError is returned for a call that the service rejected with status 429.
type busyError struct{ retryAfter time.Duration }

// Error contains the delay of the Retry-After header.
func (e *busyError) Error() string {
	return fmt.Sprintf("the configuration service is busy, retry after %s", e.retryAfter)
}

// follow watches a key and calls accept with each new version. If accept returns an
// error, the key is read again after a backoff delay.
func (c *Client) follow(ctx context.Context, key string, accept func(context.Context, []byte) error) {
	delays := newDelays()
	keyOutage := &outage{key: key, logger: c.config.Logger}
	version, failed := 0, false
	for ctx.Err() == nil {
		value, err := c.watch(ctx, key, version, failed)
		if err == nil {
			err = accept(ctx, value.body)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errUnchanged):
			delays.Reset()
			keyOutage.recordSuccess()
		case err != nil:
			failed = true
			c.backOff(ctx, keyOutage, err, delays)
		case value.version == version && !failed:
			// The service returned without waiting. Treating this as a failure
			// adds a backoff delay and so prevents a busy loop of watches.
			c.backOff(ctx, keyOutage, errors.New("a watch returned a known version"), delays)
		default:
			version, failed = value.version, false
			delays.Reset()
			keyOutage.recordSuccess()
		}
	}
}

// newDelays returns an exponential backoff with jitter.
func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialDelay
	delays.MaxInterval = maxDelay
	delays.Multiplier = delayFactor
	delays.RandomizationFactor = delayJitter
	return delays
}

// backOff records a failed call and sleeps for the next backoff delay, or longer if
// the service asked for it.
func (c *Client) backOff(ctx context.Context, keyOutage *outage, err error, delays *backoff.ExponentialBackOff) {
	delay := delays.NextBackOff()
	if busy := (*busyError)(nil); errors.As(err, &busy) {
		delay = max(delay, min(busy.retryAfter, maxRetryAfter))
	}
	keyOutage.recordFailure(err, delay)
	sleep.For(ctx, delay)
}

// watch waits until the version of the key differs from the known one. After a
// failure it reads the value at once, since the version may have changed during the
// failure.
func (c *Client) watch(ctx context.Context, key string, known int, failed bool) (versionedValue, error) {
	if failed {
		return c.read(ctx, key)
	}
	wait := settings.Milliseconds(c.config.Platform.WatchMs)
	query := url.Values{"after": {strconv.Itoa(known)}, "wait_ms": {strconv.Itoa(c.config.Platform.WatchMs)}}
	return c.get(ctx, "/v1/watch/"+key+"?"+query.Encode(), wait+watchGrace)
}

func (c *Client) read(ctx context.Context, key string) (versionedValue, error) {
	return c.get(ctx, "/v1/values/"+key, settings.Milliseconds(c.config.Platform.TimeoutMs))
}

// get sends one request after waiting for the rate limiter.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) (versionedValue, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return versionedValue{}, err
	}
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.config.Platform.Address+path, nil)
	if err != nil {
		return versionedValue{}, err
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return versionedValue{}, err
	}
	defer response.Body.Close()
	return c.parseResponse(response)
}

// parseResponse reads the value and its version from a response.
func (c *Client) parseResponse(response *http.Response) (versionedValue, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return versionedValue{}, err
	}
	switch response.StatusCode {
	case http.StatusNoContent:
		c.lastContact.Store(time.Now().UnixMilli())
		return versionedValue{}, errUnchanged
	case http.StatusTooManyRequests:
		return versionedValue{}, &busyError{retryAfter: retryAfter(response)}
	case http.StatusOK:
	default:
		return versionedValue{}, fmt.Errorf("unexpected status %s", response.Status)
	}
	if len(body) > maxValueBytes {
		return versionedValue{}, fmt.Errorf("the value exceeds the limit of %d bytes", maxValueBytes)
	}
	version, err := strconv.Atoi(response.Header.Get("X-Version"))
	if err != nil || version < 1 {
		return versionedValue{}, fmt.Errorf("X-Version header %q is not a positive number", response.Header.Get("X-Version"))
	}
	c.lastContact.Store(time.Now().UnixMilli())
	return versionedValue{version: version, body: body}, nil
}

// retryAfter returns the delay of a Retry-After header in seconds, at most
// maxRetryAfter, or 0 if the header is absent or malformed.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
