package backend

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderLeaving is the HTTP header that a backend server sets in all its answers once
// it is leaving.
const HeaderLeaving = "X-Server-Leaving"

// maxRetryAfter limits the time that a server can ask for with Retry-After.
const maxRetryAfter = time.Hour

// Announcement is what the header of an answer says about the server itself.
type Announcement struct {
	// Leaving is set if the server is leaving and gets no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this host; 0 if it
	// doesn't say so.
	RetryAfter time.Duration
}

// announce passes the announcement in the header of an answer, if there is one, to the
// dialer's OnAnnouncement.
func (c *Conn) announce(response *http.Response) {
	if c.onAnnouncement == nil {
		return
	}
	a := Announcement{Leaving: response.Header.Get(c.leavingHeader) == "1"}
	if response.StatusCode == http.StatusServiceUnavailable {
		a.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	if a != (Announcement{}) {
		c.onAnnouncement(c.server, a)
	}
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
