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
	// initialDelay and maxDelay bound the delay after a failed call.
	initialDelay = 200 * time.Millisecond
	maxDelay     = 15 * time.Second
	// delayFactor and delayJitter shape the delays between.
	delayFactor = 2
	delayJitter = 0.5
	// maxRetryAfter bounds the delay that the service may ask for.
	maxRetryAfter = 30 * time.Second
	// watchGrace is added to the time of a watch for its answer to arrive.
	watchGrace = 2 * time.Second
)

// versionedValue is a value of the service.
type versionedValue struct {
	version int
	body    []byte
}

// errUnchanged is the end of a watch without news.
var errUnchanged = errors.New("unchanged")

// busyError is a call refused for the service's rate.
type busyError struct{ retryAfter time.Duration }

// Error names the advised delay.
func (e *busyError) Error() string {
	return fmt.Sprintf("the configuration service is busy for %s", e.retryAfter)
}

// follow watches a key and hands each version to accept. A version that accept
// returns an error for is read again after a delay.
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
			// The service did not wait. Take it for a failure, or the calls
			// would follow each other without a pause.
			c.backOff(ctx, keyOutage, errors.New("a watch returned a known version"), delays)
		default:
			version, failed = value.version, false
			delays.Reset()
			keyOutage.recordSuccess()
		}
	}
}

func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialDelay
	delays.MaxInterval = maxDelay
	delays.Multiplier = delayFactor
	delays.RandomizationFactor = delayJitter
	return delays
}

func (c *Client) backOff(ctx context.Context, keyOutage *outage, err error, delays *backoff.ExponentialBackOff) {
	delay := delays.NextBackOff()
	if busy := (*busyError)(nil); errors.As(err, &busy) {
		delay = max(delay, min(busy.retryAfter, maxRetryAfter))
	}
	keyOutage.recordFailure(err, delay)
	sleep.For(ctx, delay)
}

// watch waits for another version than the known one. After a failure it reads
// whatever there is, since the known version may have changed meanwhile.
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

// get makes one call within the read rate.
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
		return versionedValue{}, fmt.Errorf("status %s", response.Status)
	}
	if len(body) > maxValueBytes {
		return versionedValue{}, fmt.Errorf("the value exceeds %d bytes", maxValueBytes)
	}
	version, err := strconv.Atoi(response.Header.Get("X-Version"))
	if err != nil || version < 1 {
		return versionedValue{}, fmt.Errorf("version %q is not a number", response.Header.Get("X-Version"))
	}
	c.lastContact.Store(time.Now().UnixMilli())
	return versionedValue{version: version, body: body}, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
