package control

import (
	"context"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// explainQuery explains the placement of a request on the control goroutine.
type explainQuery struct {
	request grant.Request
	reply   chan explainReply
}

type explainReply struct {
	explanation status.Explanation
	err         *apierror.Error
}

func (q explainQuery) apply(l *Loop, now time.Time) {
	explanation, err := l.explain(now, q.request)
	q.reply <- explainReply{explanation, err}
}

// Explain says where a request would go now, without sending it. The zone of the request
// selects the pool; empty is that of this host, or the first one that has the target.
func (l *Loop) Explain(ctx context.Context, r grant.Request) (status.Explanation, *apierror.Error) {
	reply := make(chan explainReply, 1)
	stopped := apierror.New(apierror.CodeStopping, verdict.NotRun, "the entry host is stopping")
	if err := l.post(ctx, explainQuery{request: r, reply: reply}); err != nil {
		return status.Explanation{}, stopped.WithCause(err)
	}
	select {
	case answer := <-reply:
		return answer.explanation, answer.err
	case <-ctx.Done():
	case <-l.done:
	}
	return status.Explanation{}, stopped
}

func (l *Loop) explain(now time.Time, r grant.Request) (e status.Explanation, err *apierror.Error) {
	p := l.config.Policies.Current()
	if p == nil || l.view == nil {
		return e, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet")
	}
	known := &topology{policy: p, view: l.view}
	for _, pool := range known.Pools(r.Target) {
		if r.Zone != "" && pool.Zone != r.Zone {
			continue
		}
		coordinator, ok := known.Coordinator(pool)
		if !ok {
			continue
		}
		r.Zone = "" // only bound requests name a zone
		e, _ = l.coordinator.Explain(now, l.asker.Describe(now, r, pool))
		e.Host, e.Coordinator, e.Target, e.Zone = l.host, coordinator, pool.Target, pool.Zone
		return e, nil
	}
	return e, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no pool of %s can be reached there", r.Target)
}
