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
	// DefaultTicketLifetime is the time after minting within which a ticket may
	// be executed.
	DefaultTicketLifetime = 15 * time.Minute
	// DefaultMaxPause is the age up to which a keeper trusts its view. It is
	// shorter than the default silence after which other hosts declare a host
	// dead.
	DefaultMaxPause = 2 * time.Second
	// DefaultMaxSkew bounds the clock difference between callers and hosts.
	DefaultMaxSkew = 5 * time.Second
	// defaultExecutionTimeout bounds an execution whose call has no deadline.
	defaultExecutionTimeout = 10 * time.Second
	// viewRefreshesPerPause is the number of view refreshes per MaxPause.
	viewRefreshesPerPause = 8
	// maxKeeperWait bounds how long a call waits while the keeper of its key is
	// being replaced.
	maxKeeperWait = 3 * time.Second
	// keeperPollInterval is the interval at which a waiting call tries again.
	keeperPollInterval = 50 * time.Millisecond
	// drainPollInterval is the interval at which Wait checks for executions in
	// progress.
	drainPollInterval = 10 * time.Millisecond
)

// ErrNoRunner is the error of a call that arrives before SetRunner.
var ErrNoRunner = errors.New("operation: no runner is set")

// Runner executes calls on backend servers.
type Runner interface {
	// RunOperation executes a call on a backend server at most once.
	RunOperation(ctx context.Context, call message.OperationCall) message.OperationReply
}

// Forwarder communicates with the other entry hosts.
type Forwarder interface {
	// Call sends a call to a host and waits for its reply. An error means that
	// nothing was sent.
	Call(ctx context.Context, host string, call message.OperationCall) (message.OperationReply, error)
	// Hosts returns the entry hosts of all zones, including this one.
	Hosts() []message.Member
	// HandoverKeys sends a part of a key handover to the host h.To and reports
	// whether it was sent.
	HandoverKeys(ctx context.Context, h message.KeyHandover) bool
	// AcknowledgeHandover sends the acknowledgement of a handover part to a
	// host. The message may be lost.
	AcknowledgeHandover(host string, a message.KeyHandoverAck)
}

// Config configures a Service.
type Config struct {
	// Host is the name of this entry host.
	Host string
	// Zone is its availability zone.
	Zone string
	// Incarnation is the number of this start of the host.
	Incarnation int
	// Key signs this incarnation's tickets.
	Key []byte
	// Policy returns the policy in force; it may return nil.
	Policy func() *policy.Policy
	// Forwarder communicates with the other entry hosts.
	Forwarder Forwarder
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// TicketLifetime, MaxPause, MaxSkew and Limits have the meaning of
	// DefaultTicketLifetime, DefaultMaxPause, DefaultMaxSkew and DefaultLimits,
	// which replace zero values. MaxPause must be shorter than the silence
	// after which other hosts declare this one dead.
	TicketLifetime time.Duration
	MaxPause       time.Duration
	MaxSkew        time.Duration
	Limits         Limits
	// Logger receives a line for each decision; nil disables logging.
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
