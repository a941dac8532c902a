package operation

import (
	"context"
	"errors"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

const (
	// DefaultTicketLifetime is the time from its mint in which a ticket may be
	// executed.
	DefaultTicketLifetime = 15 * time.Minute
	// DefaultMaxPause is below the default silence after which a host is dead.
	DefaultMaxPause = 2 * time.Second
	// DefaultMaxSkew bounds the difference between the clocks of callers and
	// hosts.
	DefaultMaxSkew = 5 * time.Second
	// defaultExecutionTimeout bounds an execution whose call names no deadline.
	defaultExecutionTimeout = 10 * time.Second
	// viewRefreshesPerPause is how often a view is taken within the longest pause.
	viewRefreshesPerPause = 8
	// maxKeeperWait is how long a call waits for its keeper to be replaced.
	maxKeeperWait = 3 * time.Second
	// keeperPollInterval is the interval at which it looks.
	keeperPollInterval = 50 * time.Millisecond
	// drainPollInterval is the interval at which Wait looks.
	drainPollInterval = 10 * time.Millisecond
)

// ErrNoRunner is the cause of calls refused before SetRunner.
var ErrNoRunner = errors.New("operation: no runner is set")

// Runner executes a call on a backend server, once.
type Runner interface {
	RunOperation(ctx context.Context, call message.OperationCall) message.OperationReply
}

// Forwarder reaches the other entry hosts.
type Forwarder interface {
	// Call sends a call to a host and waits for its reply. An error means that
	// nothing was sent.
	Call(ctx context.Context, host string, call message.OperationCall) (message.OperationReply, error)
	// Hosts returns the entry hosts of all zones, this one included.
	Hosts() []message.Member
	// HandoverKeys sends a part of a key table to the host that it names and
	// reports whether it was sent.
	HandoverKeys(ctx context.Context, h message.KeyHandover) bool
	// AcknowledgeHandover tells a host that a part of its handover was taken.
	// The message may be lost.
	AcknowledgeHandover(host string, a message.KeyHandoverAck)
}

// Config describes a Service.
type Config struct {
	Host        string
	Zone        string
	Incarnation int
	// Key signs this incarnation's tickets.
	Key []byte
	// Policy returns the policy in force; it may return nil.
	Policy    func() *policy.Policy
	Forwarder Forwarder
	// Now reads the clock; nil uses time.Now.
	Now func() time.Time
	// TicketLifetime, MaxPause, MaxSkew and Limits default to the constants
	// above. MaxPause must be shorter than the silence after which other hosts
	// declare this one dead.
	TicketLifetime time.Duration
	MaxPause       time.Duration
	MaxSkew        time.Duration
	Limits         Limits
	// Logger receives a line for each decision; nil logs nothing.
	Logger *eventlog.Logger
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.TicketLifetime == 0 {
		c.TicketLifetime = DefaultTicketLifetime
	}
	if c.MaxPause == 0 {
		c.MaxPause = DefaultMaxPause
	}
	if c.MaxSkew == 0 {
		c.MaxSkew = DefaultMaxSkew
	}
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits
	}
	if c.Policy == nil {
		c.Policy = func() *policy.Policy { return nil }
	}
	if c.Logger == nil {
		c.Logger = eventlog.Discard()
	}
	return c
}
