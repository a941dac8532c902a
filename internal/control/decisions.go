package control

import (
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/coordinator"
)

// decisionLogSize bounds the decisions that wait to be written.
const decisionLogSize = 8192

// decisionLog writes one line for each decision. Writing happens in its own
// goroutine; decisions beyond the bound are counted and dropped.
type decisionLog struct {
	logger  *log.Logger
	queue   chan coordinator.Decision
	dropped tally.Counter
	metrics tally.Scope
}

func newDecisionLog(logger *log.Logger, metrics tally.Scope) *decisionLog {
	return &decisionLog{
		logger:  logger,
		queue:   make(chan coordinator.Decision, decisionLogSize),
		dropped: metrics.Counter("decisions_not_logged"),
		metrics: metrics,
	}
}

func (d *decisionLog) add(decisions []coordinator.Decision) {
	for _, decision := range decisions {
		if decision.Kind == coordinator.DecisionRedirect {
			d.metrics.Tagged(map[string]string{"cause": string(decision.Cause)}).Counter("redirects").Inc(1)
		}
		select {
		case d.queue <- decision:
		default:
			d.dropped.Inc(1)
		}
	}
}

func (d *decisionLog) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case decision := <-d.queue:
			d.write(decision)
		}
	}
}

func (d *decisionLog) write(c coordinator.Decision) {
	d.logger.Info(c.Kind,
		"zone", c.Pool.Zone, "target", c.Pool.Target, "request", c.Request,
		"organisation", c.Organisation, "caller", c.Caller, "tier", c.Tier,
		"server", c.Server, "to", c.Zone, "grant", c.Grant, "verdict", c.Verdict, "reason", c.Reason)
}
