package confsource

import (
	"time"

	"mimosafront/internal/eventlog"
)

// outage tracks consecutive failed calls for one key. The first failure is logged as
// a warning, the recovery at info level, and the failures between at debug level so
// that a long outage does not fill the log.
type outage struct {
	key         string
	logger      *eventlog.Logger
	failedCalls int
	// since is the time of the first failure.
	since time.Time
}

// recordFailure counts a failed call and logs it with the delay before the next one.
func (o *outage) recordFailure(err error, delay time.Duration) {
	log := o.logger.Debug
	if o.failedCalls == 0 {
		o.since = time.Now()
		log = o.logger.Warn
	}
	o.failedCalls++
	log("configuration service lost", "key", o.key, "error", err, "failed_calls", o.failedCalls, "retry_in_ms", delay.Milliseconds())
}

// recordSuccess ends the outage, if there is one, and logs its length.
func (o *outage) recordSuccess() {
	if o.failedCalls == 0 {
		return
	}
	o.logger.Info("configuration service back", "key", o.key, "failed_calls", o.failedCalls, "lost_for_ms", time.Since(o.since).Milliseconds())
	o.failedCalls = 0
}
