// Package placement decides which backend servers load and unload which models.
//
// One entry host per availability zone is the placement coordinator. A term is the
// time in which a host holds that role without a pause; State.startTerm has the
// details. Servers are ranked by rendezvous hashing, and a token bucket limits the
// loads of model weights. State is a pure state machine: it neither reads a clock nor
// does I/O. Sender sends its orders.
package placement

import (
	"fmt"
	"time"

	"mimosafront/internal/policy"
)

// Action is what an order asks a backend server to do.
type Action string

// The actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks one backend server to load or unload a model.
type Order struct {
	Server string
	// Address is the server's host:port.
	Address string
	Action  Action
	Model   string
	// Version is the version to load; if it is empty, the server chooses.
	Version string
	// Fencing is the fencing number. It grows with the policy generation and
	// the start of the coordinator's term.
	Fencing int
	// Reason is logged with the order.
	Reason string
}

// String returns a one-line summary of the order.
func (o Order) String() string {
	return fmt.Sprintf("%s %s %s on %s (fencing %d)", o.Action, o.Model, o.Version, o.Server, o.Fencing)
}

// Result says whether a backend server executed an order.
type Result string

// The results of orders.
const (
	// ResultDone means that the server executed the order.
	ResultDone Result = "done"
	// ResultFenced means that the server has seen a higher fencing number.
	ResultFenced Result = "fenced"
	// ResultRejected means that the server refused to execute the order.
	ResultRejected Result = "rejected"
	// ResultFailed means that it is unknown whether the server executed the order.
	ResultFailed Result = "failed"
)

// IdleRank is the running rank of a server that runs nothing.
const IdleRank = int(^uint(0) >> 1)

// Server is the observed state of one backend server.
type Server struct {
	// Live is true if the server counts as running.
	Live bool
	// Leaving servers get no orders and don't count as replicas.
	Leaving bool
	// LoadedKnown is true if Loaded was read from the server.
	LoadedKnown bool
	// Loaded maps the models that the server has loaded to their versions; the
	// version is empty if the server reports none.
	Loaded map[string]string
	// ReportedAt is when the read of Loaded began.
	ReportedAt time.Time
	// Drained are the models that get no new work on the server and run none.
	Drained map[string]bool
	// RunningRank is the rank of the highest tier that runs on the server, or
	// IdleRank. A lower rank is a higher tier.
	RunningRank int
}

// Inputs are the inputs of one Tick.
type Inputs struct {
	Policy *policy.Policy
	// Owner is true if this host owns the placement of its zone, that is, if it
	// is the coordinator.
	Owner bool
	// Majority is true if this host reaches more than half of the entry hosts
	// of its zone.
	Majority bool
	// Servers are the backend servers of the zone by name.
	Servers map[string]Server
}

// Config configures the placement coordinator of a zone.
type Config struct {
	Zone string
	// CoordinatorLifetime is how long an earlier coordinator may go on sending
	// orders after a takeover. Servers that ignore fencing numbers get no order
	// before it has passed.
	CoordinatorLifetime time.Duration
	// MaxPause is the longest gap between two calls of Tick after which the host
	// still counts as the coordinator.
	MaxPause time.Duration
	// AbsenceGrace is how long a server may be absent before its models are
	// placed elsewhere. It is also how long the effect of an order, and the
	// models of a server without a report, are assumed.
	AbsenceGrace time.Duration
	// DrainLifetime is how long a drain that an earlier coordinator requested
	// may last. No version changes in a term before CoordinatorLifetime plus
	// DrainLifetime have passed.
	DrainLifetime time.Duration
	// OrderTimeout is how long the result of an order is awaited. It is also the
	// backoff of a server after an order that failed or was rejected.
	OrderTimeout time.Duration
}

// fencingEpoch is the Unix time in milliseconds from which term starts are counted.
const fencingEpoch = 1_704_067_200_000 // 2024-01-01

// startTimeBits is the number of bits of a fencing number that hold the start of
// the term in milliseconds. They last for 34 years; the other 23 bits hold
// 8 million generations.
const startTimeBits = 40

// maxGeneration is the highest generation that a fencing number can hold.
const maxGeneration = 1<<(63-startTimeBits) - 1

// FencingNumber returns the fencing number of a coordinator whose term began at
// start, under a policy generation. Numbers are ordered by generation, then start.
func FencingNumber(generation int, start time.Time) int {
	ms := max(start.UnixMilli()-fencingEpoch, 0) & (1<<startTimeBits - 1)
	return min(generation, maxGeneration)<<startTimeBits | int(ms)
}
