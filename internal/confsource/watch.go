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
	// firstDelay and longestDelay bound the delay after a failed call.
	firstDelay   = 200 * time.Millisecond
	longestDelay = 15 * time.Second
	// delayFactor and delayJitter shape the delays between.
	delayFactor = 2
	delayJitter = 0.5
	// longestAdvice bounds the delay that the service may ask for.
	longestAdvice = 30 * time.Second
	// watchGrace is added to the time of a watch for its answer to arrive.
	watchGrace = 2 * time.Second
)

// answer is a value of the service.
type answer struct {
	version int
	body    []byte
}

// errUnchanged is the end of a watch without news.
var errUnchanged = errors.New("unchanged")

// busyError is a call refused for the service's rate.
type busyError struct{ after time.Duration }

// Error names the advised delay.
func (e *busyError) Error() string {
	return fmt.Sprintf("the configuration service is busy for %s", e.after)
}

// follow watches a key and hands each version to accept. A version that accept
// returns an error for is read again after a delay.
func (c *Client) follow(ctx context.Context, key string, accept func(context.Context, []byte) error) {
	delays := newDelays()
	lost := &outage{key: key, logger: c.config.Logger}
	version, failed := 0, false
	for ctx.Err() == nil {
		a, err := c.watch(ctx, key, version, failed)
		if err == nil {
			err = accept(ctx, a.body)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errUnchanged):
			delays.Reset()
			lost.success()
		case err != nil:
			failed = true
			c.waitAfter(ctx, lost, err, delays)
		case a.version == version && !failed:
			// The service did not wait. Take it for a failure, or the calls
			// would follow each other without a pause.
			c.waitAfter(ctx, lost, errors.New("a watch returned a known version"), delays)
		default:
			version, failed = a.version, false
			delays.Reset()
			lost.success()
		}
	}
}

func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstDelay
	delays.MaxInterval = longestDelay
	delays.Multiplier = delayFactor
	delays.RandomizationFactor = delayJitter
	return delays
}

func (c *Client) waitAfter(ctx context.Context, lost *outage, err error, delays *backoff.ExponentialBackOff) {
	delay := delays.NextBackOff()
	if busy := (*busyError)(nil); errors.As(err, &busy) {
		delay = max(delay, min(busy.after, longestAdvice))
	}
	lost.failure(err, delay)
	sleep.For(ctx, delay)
}

// watch waits for another version than the known one. After a failure it reads
// whatever there is, since the known version may have changed meanwhile.
func (c *Client) watch(ctx context.Context, key string, known int, failed bool) (answer, error) {
	if failed {
		return c.read(ctx, key)
	}
	wait := settings.Milliseconds(c.config.Platform.WatchMs)
	query := url.Values{"after": {strconv.Itoa(known)}, "wait_ms": {strconv.Itoa(c.config.Platform.WatchMs)}}
	return c.get(ctx, "/v1/watch/"+key+"?"+query.Encode(), wait+watchGrace)
}

func (c *Client) read(ctx context.Context, key string) (answer, error) {
	return c.get(ctx, "/v1/values/"+key, settings.Milliseconds(c.config.Platform.TimeoutMs))
}

// get makes one call within the read rate.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) (answer, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return answer{}, err
	}
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.config.Platform.Address+path, nil)
	if err != nil {
		return answer{}, err
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	return c.answerOf(response)
}

func (c *Client) answerOf(response *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return answer{}, err
	}
	switch response.StatusCode {
	case http.StatusNoContent:
		c.contact.Store(time.Now().UnixMilli())
		return answer{}, errUnchanged
	case http.StatusTooManyRequests:
		return answer{}, &busyError{after: retryAfter(response)}
	case http.StatusOK:
	default:
		return answer{}, fmt.Errorf("status %s", response.Status)
	}
	if len(body) > maxValueBytes {
		return answer{}, fmt.Errorf("the value exceeds %d bytes", maxValueBytes)
	}
	version, err := strconv.Atoi(response.Header.Get("X-Version"))
	if err != nil || version < 1 {
		return answer{}, fmt.Errorf("version %q is not a number", response.Header.Get("X-Version"))
	}
	c.contact.Store(time.Now().UnixMilli())
	return answer{version: version, body: body}, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(longestAdvice/time.Second))) * time.Second
}
