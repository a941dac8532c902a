package asker

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// refusalCodes maps the refusal reasons of coordinators to the error codes that callers
// receive.
var refusalCodes = map[message.RefusalReason]apierror.Code{
	message.RefusalReasonDeadline:   apierror.CodeDeadline,
	message.RefusalReasonInfeasible: apierror.CodeInfeasible,
	message.RefusalReasonLeaving:    apierror.CodeNoServer,
	message.RefusalReasonNoServer:   apierror.CodeNoServer,
	message.RefusalReasonPoison:     apierror.CodePoison,
	message.RefusalReasonQueueFull:  apierror.CodeQueueFull,
	message.RefusalReasonQuota:      apierror.CodeQuota,
	message.RefusalReasonRateLimit:  apierror.CodeQuota,
	message.RefusalReasonShed:       apierror.CodeShed,
}

// refusalTexts are the error messages by code.
var refusalTexts = map[apierror.Code]string{
	apierror.CodeDeadline:   "the request cannot finish before its deadline",
	apierror.CodeInfeasible: "no backend server can take a request of this size",
	apierror.CodeNoServer:   "no backend server of the target takes work",
	apierror.CodePoison:     "the request is quarantined: backend servers crashed while they ran it",
	apierror.CodeQueueFull:  "the queues of the target are full with work of the same or a higher tier",
	apierror.CodeQuota:      "the organisation has spent its quota",
	apierror.CodeShed:       "the request was displaced by other work",
}

// transient reports whether a retry may succeed after a refusal for the reason.
func transient(reason message.RefusalReason) bool {
	return reason != message.RefusalReasonInfeasible && reason != message.RefusalReasonPoison
}

// refusalError combines the refusals of all pools into one error. The first reason
// other than a lack of servers determines its code, and the shortest advised delay its
// retry delay.
func refusalError(refusals []message.Refusal) *apierror.Error {
	if len(refusals) == 0 {
		return apierror.New(apierror.CodeNoServer, verdict.NotRun, "no pool serves the target")
	}
	reason := refusals[0].Reason
	for _, r := range refusals {
		if refusalCodes[reason] != apierror.CodeNoServer {
			break
		}
		reason = r.Reason
	}
	var retry time.Duration
	for _, r := range refusals {
		after := time.Duration(r.RetryAfterMs) * time.Millisecond
		if transient(r.Reason) && after > 0 && (retry == 0 || after < retry) {
			retry = after
		}
	}
	code, ok := refusalCodes[reason]
	if !ok {
		code = apierror.CodeNoServer
	}
	return apierror.New(code, verdict.NotRun, "%s", refusalTexts[code]).WithRetry(retry)
}
