package control

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/message"
)

// grantAndRevoke is an event in which a coordinator grants a request and revokes the
// grant within one turn of the loop, as when both frames arrive together.
type grantAndRevoke struct{ acquire }

func (e grantAndRevoke) apply(l *Loop, now time.Time) {
	e.acquire.apply(l, now)
	for _, out := range l.asker.TakeOutput() {
		ask := out.Frame.Ask
		if ask == nil {
			continue
		}
		l.route(now, out.To, &message.Frame{Grant: &message.Grant{
			Grant: "g1", Request: ask.Request, Attempt: ask.Attempt, Pool: ask.Pool, Server: "a1", LifetimeMs: 300,
		}})
		l.route(now, out.To, &message.Frame{Revoke: &message.Revoke{Grant: "g1"}})
	}
}

// The revocation must reach a lease whose grant arrived in the same turn.
func TestRevokeInSameTurnAsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		reply := make(chan acquireResult, 1)
		if err := l.post(t.Context(), grantAndRevoke{acquire{request: testRequest("r1"), reply: reply}}); err != nil {
			t.Fatal(err)
		}
		got := <-reply
		if got.err != nil {
			t.Fatal(got.err)
		}
		synctest.Wait()
		wantNotRun(t, got.lease.Dispatch())
		select {
		case <-got.lease.Revoked():
		default:
			t.Error("the revocation was lost")
		}
	})
}
