package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderLeaving is the HTTP header that a backend server sets in all its answers once
// it is leaving.
const HeaderLeaving = "X-Server-Leaving"

// HeaderRequestLimit is the HTTP header in which a backend server states how many requests
// per second it takes from all entry hosts together, for as long as its answers carry it.
const HeaderRequestLimit = "X-Request-Limit"

// maxRetryAfter limits the time that a server can ask for with Retry-After.
const maxRetryAfter = time.Hour

// Announcement is what the header of an answer says about the server itself.
type Announcement struct {
	// Leaving is set if the server is leaving and gets no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this host; 0 if it
	// doesn't say so.
	RetryAfter time.Duration
	// RequestsPerS is the limit of requests per second that the server states; 0 if it
	// states none. It is not valid if LimitIllegible is set.
	RequestsPerS   float64
	LimitIllegible bool
}

// announcementHeaders are the names of the headers that announce something.
type announcementHeaders struct{ leaving, limit string }

// announce passes the announcement in the header of an answer to the dialer's
// OnAnnouncement. Answers that announce nothing are passed on too: they end a limit.
func (c *Conn) announce(response *http.Response) {
	if c.onAnnouncement == nil {
		return
	}
	a := Announcement{Leaving: response.Header.Get(c.headers.leaving) == "1"}
	if response.StatusCode == http.StatusServiceUnavailable {
		a.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	if limit := response.Header.Get(c.headers.limit); limit != "" {
		a.RequestsPerS = parseRequestLimit(limit)
		a.LimitIllegible = a.RequestsPerS == 0
	}
	c.onAnnouncement(c.server, a)
}

// minRequestLimit is the least limit that is honoured, in requests per second: a server
// that gets no requests couldn't state another limit.
const minRequestLimit = 0.5

// parseRequestLimit returns a limit in requests per second, at least minRequestLimit, or
// 0 if the value is no such number.
func parseRequestLimit(value string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}
	return max(limit, minRequestLimit)
}

// parseRetryAfter returns the delay of a Retry-After header in seconds, which may have a
// fraction, at most maxRetryAfter. It returns 0 for any other value.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
