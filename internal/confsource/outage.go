package confsource

import (
	"time"

	"mimosafront/internal/eventlog"
)

// outage is the time in which calls for one key fail. It logs the first failure
// and the end; those between are of use to developers only.
type outage struct {
	key         string
	logger      *eventlog.Logger
	failedCalls int
	since       time.Time
}

// recordFailure notes a failed call and the delay before the next one.
func (o *outage) recordFailure(err error, delay time.Duration) {
	log := o.logger.Debug
	if o.failedCalls == 0 {
		o.since = time.Now()
		log = o.logger.Warn
	}
	o.failedCalls++
	log("configuration service lost", "key", o.key, "error", err, "failed_calls", o.failedCalls, "retry_in_ms", delay.Milliseconds())
}

// recordSuccess notes a call that was answered.
func (o *outage) recordSuccess() {
	if o.failedCalls == 0 {
		return
	}
	o.logger.Info("configuration service back", "key", o.key, "failed_calls", o.failedCalls, "lost_for_ms", time.Since(o.since).Milliseconds())
	o.failedCalls = 0
}
