package front

import (
	"mimosafront/internal/eventlog"
	"mimosafront/internal/metrics"
	"mimosafront/internal/verdict"
)

// logEnd logs the end of a request in one line.
func (f *Front) logEnd(q *request) {
	o := q.outcome
	fields := []any{
		"request", q.id,
		"organisation", q.caller.Organisation,
		"caller", q.caller.Name,
		"tier", q.tier.Name,
		"target", q.target,
		"status", o.status,
		"verdict", o.verdict,
		"server", o.server,
		"grant", o.grant,
		"attempts", q.attempts,
		"policy", q.policyGeneration(),
		"prompt_tokens", q.work.promptTokens,
		"output_tokens", o.outputTokens,
		"first_token_ms", o.timeToFirstToken.Milliseconds(),
		"longest_gap_ms", o.longestGap.Milliseconds(),
		"total_ms", now().Sub(q.arrived).Milliseconds(),
	}
	if o.err == nil {
		f.config.Logger.End(now(), eventlog.MessageRequest, append(fields, "code", "ok")...)
		return
	}
	fields = append(fields, "code", o.err.Code, "error", o.err.Message, "retry_after_ms", o.err.RetryAfter.Milliseconds())
	if o.err.Cause != nil {
		fields = append(fields, "cause", o.err.Cause)
	}
	if o.verdict != verdict.NotRun {
		f.config.Logger.End(now(), eventlog.MessageRequest, fields...)
		return
	}
	refusal := eventlog.Refusal{
		Request: q.id, Organisation: q.caller.Organisation, Tier: q.tier.Name, Reason: string(o.err.Code),
	}
	f.config.Logger.Refuse(now(), refusal, eventlog.MessageRequest, fields...)
}

// policyGeneration returns the generation of the policy under which the request was
// admitted, or 0 without one.
func (q *request) policyGeneration() int {
	if q.policy == nil {
		return 0
	}
	return q.policy.Generation
}

// countEnd adds a request to the metrics.
func (f *Front) countEnd(q *request) {
	o := q.outcome
	record := metrics.Request{
		Tier:         q.tier.Name,
		Verdict:      string(o.verdict),
		Code:         "ok",
		OutputTokens: o.outputTokens,
		FirstToken:   o.timeToFirstToken,
		Total:        now().Sub(q.arrived),
	}
	if o.err != nil {
		record.Code = string(o.err.Code)
	}
	if !o.grantedAt.IsZero() {
		record.Wait = o.grantedAt.Sub(q.arrived)
	}
	f.config.Metrics.Record(record)
}
