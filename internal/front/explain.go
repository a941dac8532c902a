package front

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/policy"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// Describe returns what the scheduler would be asked for a request, and the request's
// route, if it has one. Nothing is sent or counted.
func (f *Front) Describe(query status.Query) (grant.Request, policy.Route, *apierror.Error) {
	q := &routedRequest{request: &request{id: "explained", arrived: now(), policy: f.config.Policy()}}
	if q.policy == nil {
		return grant.Request{}, q.route, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet")
	}
	err := q.describeSender(query)
	if err == nil && query.Host != "" {
		err = f.describeRouted(q, query)
	} else if err == nil {
		err = q.describeTarget(query)
	}
	if err != nil {
		return grant.Request{}, q.route, err
	}
	r := q.grantRequest()
	r.Zone = query.Zone
	return r, q.route, nil
}

// describeSender sets the caller by its key, or by its names.
func (q *routedRequest) describeSender(query status.Query) *apierror.Error {
	if query.Key != "" {
		var ok bool
		if q.caller, ok = q.policy.Authenticate(query.Key); !ok {
			return apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the key is unknown")
		}
		return nil
	}
	if _, ok := q.policy.Organisations[query.Organisation]; !ok && query.Organisation != "" {
		return apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the policy holds no such organisation")
	}
	q.caller = policy.Caller{Name: query.Caller, Organisation: query.Organisation}
	return nil
}

// describeRouted sets what the header of a request on a route would.
func (f *Front) describeRouted(q *routedRequest, query status.Query) *apierror.Error {
	var ok bool
	if q.route, ok = q.policy.MatchRoute(hostName(query.Host), query.Path); !ok {
		return apierror.New(apierror.CodeUnknownTarget, verdict.NotRun, "no route leads there")
	}
	if f.config.Headers == nil {
		return apierror.New(apierror.CodeUnknownTarget, verdict.NotRun, "this host serves no routes")
	}
	if !q.route.Public && q.caller.Organisation == "" {
		return apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the route needs a key or an organisation")
	}
	q.tier = q.policy.RouteTier(q.route, q.caller.Organisation)
	q.target = cmp.Or(query.Target, q.route.PickTarget(0))
	q.deadline = q.arrived.Add(time.Duration(q.route.TimeoutMs) * time.Millisecond)
	if at := q.arrived.Add(time.Duration(query.DeadlineMs) * time.Millisecond); query.DeadlineMs > 0 && at.Before(q.deadline) {
		q.deadline = at
	}
	names := f.config.Headers
	header := http.Header{}
	if query.PromptTokens > 0 || query.OutputTokens > 0 {
		header.Set(names.Tokens, strings.Join([]string{strconv.Itoa(query.PromptTokens), strconv.Itoa(query.OutputTokens)}, ","))
	}
	if query.Parts != "" {
		header.Set(names.Prefix, query.Parts)
	}
	q.work = f.routeWork(&http.Request{RequestURI: query.Path, Header: header}, q, nil)
	q.work.fingerprint = 0 // the body is unknown
	return nil
}

// describeTarget sets what a request to the chat interface would.
func (q *routedRequest) describeTarget(query status.Query) *apierror.Error {
	model, known := q.policy.Models[query.Target]
	known = known || q.policy.IsService(query.Target)
	if err := q.setTarget(query.Target, known); err != nil {
		return err
	}
	header := http.Header{}
	if query.Tier != "" {
		header.Set(HeaderTier, query.Tier)
	}
	if query.DeadlineMs > 0 {
		header.Set(HeaderDeadline, strconv.Itoa(query.DeadlineMs))
	}
	var err *apierror.Error
	if q.tier, err = chooseTier(q.policy, q.caller, header); err != nil {
		return err
	}
	limit, err := chooseDeadline(q.tier, header, q.tier.DeadlineMs)
	if err != nil {
		return err
	}
	q.deadline = q.arrived.Add(limit)
	q.work = work{promptTokens: query.PromptTokens, outputTokens: cmp.Or(query.OutputTokens, model.OutputTokens, 1)}
	return nil
}

// RouteKind names what a route allows, for display; empty without a route.
func RouteKind(r policy.Route) string {
	switch {
	case r.Name == "":
		return ""
	case r.Streaming && r.Resumable:
		return "stream, resumable"
	case r.Streaming:
		return "stream"
	case r.Repeatable:
		return "repeatable"
	}
	return "at most once"
}
