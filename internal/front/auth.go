package front

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// bearerScheme precedes the key in the Authorization header.
const bearerScheme = "bearer "

// authenticate returns the caller that owns the bearer key in the header. The key is
// not stored or logged.
func authenticate(p *policy.Policy, header http.Header) (policy.Caller, *apierror.Error) {
	value := header.Get("Authorization")
	if len(value) <= len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return policy.Caller{}, apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the Authorization header carries no bearer key")
	}
	caller, ok := p.Authenticate(strings.TrimSpace(value[len(bearerScheme):]))
	if !ok {
		return policy.Caller{}, apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the bearer key is unknown")
	}
	return caller, nil
}

// chooseTier returns the tier that the header names, else the default tier of the
// caller, else the lowest tier that its organisation may use.
func chooseTier(p *policy.Policy, caller policy.Caller, header http.Header) (policy.Tier, *apierror.Error) {
	allowed := p.TiersOf(caller.Organisation)
	name := header.Get(HeaderTier)
	if name == "" {
		name = caller.Tier
	}
	if name == "" && len(allowed) > 0 {
		return allowed[len(allowed)-1], nil
	}
	tier, known := p.Tier(name)
	if !known {
		return tier, apierror.New(apierror.CodeMalformed, verdict.NotRun, "%s names no tier of the policy", HeaderTier)
	}
	if !slices.Contains(allowed, tier) {
		return tier, apierror.New(apierror.CodeForbidden, verdict.NotRun, "organisation %s may not use the tier %s", caller.Organisation, name)
	}
	return tier, nil
}

// chooseDeadline returns the time allowed for the complete answer: the value of the
// header, or defaultMs without one.
func chooseDeadline(tier policy.Tier, header http.Header, defaultMs int) (time.Duration, *apierror.Error) {
	value := header.Get(HeaderDeadline)
	if value == "" {
		return time.Duration(defaultMs) * time.Millisecond, nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 {
		return 0, apierror.New(apierror.CodeMalformed, verdict.NotRun, "%s is not a number of milliseconds", HeaderDeadline)
	}
	if ms > tier.MaxDeadlineMs {
		return 0, apierror.New(apierror.CodeMalformed, verdict.NotRun, "%s: %d exceeds the %d of the tier %s", HeaderDeadline, ms, tier.MaxDeadlineMs, tier.Name)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// setTarget sets the target of the request and checks that the caller may use this
// model or service. An unknown name is arbitrary text from the caller and therefore
// appears neither in the error nor in the log.
func (q *request) setTarget(name string, known bool) *apierror.Error {
	if !known {
		return apierror.New(apierror.CodeUnknownTarget, verdict.NotRun, "the policy holds no such model or service")
	}
	q.target = name
	if !q.policy.MayReach(q.caller.Organisation, q.target) {
		return apierror.New(apierror.CodeForbidden, verdict.NotRun, "organisation %s may not use %s", q.caller.Organisation, q.target)
	}
	return nil
}
