package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/xid"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

const (
	// maxRunningCalls bounds the forwarded calls that run on this host concurrently.
	maxRunningCalls = 256
	// connectPollInterval is the time between two checks whether the link is open.
	connectPollInterval = 5 * time.Millisecond
	// connectTimeout bounds the wait for the link.
	connectTimeout = 2 * time.Second
)

// errUnreachable is returned for a call that was not sent.
var errUnreachable = errors.New("the entry host can't be reached")

// OperationHandler executes a call that another entry host forwarded.
type OperationHandler func(ctx context.Context, from string, call message.OperationCall) message.OperationReply

// forwarder forwards operation calls to other hosts and runs the calls that they
// forward.
type forwarder struct {
	loop *Loop

	mu      sync.Mutex
	ctx     context.Context
	handler OperationHandler
	running int
	group   conc.WaitGroup
	pending map[string]pendingCall
}

// pendingCall is a call that was sent and not yet answered.
type pendingCall struct {
	host  string
	reply chan message.OperationReply
}

func newForwarder(l *Loop) *forwarder { return &forwarder{loop: l, pending: map[string]pendingCall{}} }

func (c *forwarder) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
}

// SetOperationHandler sets the handler that runs the calls of other hosts.
func (l *Loop) SetOperationHandler(h OperationHandler) {
	l.calls.mu.Lock()
	defer l.calls.mu.Unlock()
	l.calls.handler = h
}

// Hosts returns the entry hosts of all zones, this one included, as of the last update
// of the links.
func (l *Loop) Hosts() []message.Member { return *l.hosts.Load() }

// Call forwards an operation call to a host and waits for its reply. An error means
// that nothing was sent. If the reply is lost, the verdict of the returned reply is
// that the operation may have run.
func (l *Loop) Call(ctx context.Context, host string, call message.OperationCall) (message.OperationReply, error) {
	if err := l.awaitLink(ctx, host); err != nil {
		return message.OperationReply{}, err
	}
	call.Call = xid.New().String()
	reply := make(chan message.OperationReply, 1)
	l.calls.add(call.Call, pendingCall{host: host, reply: reply})
	defer l.calls.remove(call.Call)
	if !l.transport.Send(host, &message.Frame{OperationCall: &call}) {
		return message.OperationReply{}, errUnreachable
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
	case <-l.done:
	}
	return unansweredReply(call), nil
}

// unansweredReply is the reply to a call that was sent and not answered.
func unansweredReply(call message.OperationCall) message.OperationReply {
	code := apierror.CodeKeyUnknown
	if call.Kind == message.OperationCallKindTicket {
		code = apierror.CodeTicketHostGone
	}
	return message.OperationReply{
		Call: call.Call, Code: string(code), Verdict: message.OperationReplyVerdictMayHaveRun,
	}
}

// awaitLink waits up to connectTimeout until there is a link to a host.
func (l *Loop) awaitLink(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for !l.transport.Connected(host) {
		sleepOrDone(ctx, connectPollInterval)
		if ctx.Err() != nil {
			return errUnreachable
		}
	}
	return nil
}

func (c *forwarder) add(id string, p pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = p
}

func (c *forwarder) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// handleReply passes a reply to the pending call, if it came from the host that was
// called.
func (c *forwarder) handleReply(from string, r message.OperationReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[r.Call]; ok && p.host == from {
		delete(c.pending, r.Call)
		p.reply <- r
	}
}

// abortCalls ends the calls that wait for a host that died or restarted.
func (c *forwarder) abortCalls(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pending {
		if p.host == host {
			delete(c.pending, id)
			p.reply <- unansweredReply(message.OperationCall{Call: id})
		}
	}
}

// handleCall runs a forwarded call in its own goroutine and sends the reply. It refuses
// the call if maxRunningCalls are running, if there is no handler, or before Run.
func (c *forwarder) handleCall(from string, call message.OperationCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handler == nil || c.ctx == nil || c.running >= maxRunningCalls {
		c.send(from, message.OperationReply{
			Call: call.Call, Code: string(apierror.CodeQueueFull), Verdict: message.OperationReplyVerdictNotRun,
		})
		return
	}
	c.running++
	ctx, handler := c.ctx, c.handler
	c.group.Go(func() { c.run(ctx, handler, from, call) })
}

func (c *forwarder) run(ctx context.Context, handler OperationHandler, from string, call message.OperationCall) {
	ctx, cancel := context.WithTimeout(ctx, settings.Milliseconds(call.DeadlineMs))
	defer cancel()
	reply := handler(ctx, from, call)
	reply.Call = call.Call
	c.send(from, reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func (c *forwarder) send(to string, r message.OperationReply) {
	c.loop.transport.Send(to, &message.Frame{OperationReply: &r})
}
