package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mimosafront/internal/policy"
	"mimosafront/internal/sched"
)

// maxLoadBytes limits the size of a load report.
const maxLoadBytes = 64 << 10

// loadReport is the JSON form of an engine's load report. CacheUsed is the used
// fraction of the prefix cache, from 0 to 1.
type loadReport struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	TokensInFlight int     `json:"tokens_in_flight"`
	CacheUsed      float64 `json:"cache_used"`
	// AgeMs is the time since the engine took the measurement, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Load requests the load report of an engine.
func (e *Engine) Load(ctx context.Context, server policy.Server) (sched.LoadReport, error) {
	body, failure := e.call(ctx, newRequest(http.MethodGet, server, "/v1/load", "", nil), server, maxLoadBytes)
	if failure != nil {
		return sched.LoadReport{}, failure
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return sched.LoadReport{}, &Error{Kind: KindMalformed, Sent: true, Server: server.Name, Cause: err}
	}
	return sched.LoadReport{
		At:             time.Now().Add(-time.Duration(report.AgeMs) * time.Millisecond),
		Running:        report.Running,
		Waiting:        report.Waiting,
		TokensInFlight: report.TokensInFlight,
		CacheUsed:      report.CacheUsed,
	}, nil
}
