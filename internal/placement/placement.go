// Package placement decides which backend servers should load and unload which
// models.
//
// State is a pure state machine: it neither reads a clock nor does I/O. Sender
// carries its orders out.
package placement

import (
	"fmt"
	"time"

	"mimosafront/internal/policy"
)

// Action is what an order asks of a backend server.
type Action string

// The actions that engines accept.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is one order to one backend server.
type Order struct {
	Server  string
	Address string
	Action  Action
	Model   string
	// Version to load; empty leaves it to the engine.
	Version string
	// Fencing grows with the policy generation and the coordinator's start.
	Fencing int
	// Reason says why, for the log.
	Reason string
}

// String returns the order in a few words.
func (o Order) String() string {
	return fmt.Sprintf("%s %s %s on %s (fencing %d)", o.Action, o.Model, o.Version, o.Server, o.Fencing)
}

// Result is what came of an order.
type Result string

// The results of orders.
const (
	// ResultDone means that the server carried the order out.
	ResultDone Result = "done"
	// ResultFenced means that the server has seen a higher fencing number.
	ResultFenced Result = "fenced"
	// ResultRejected means that the server answered that it did not carry it out.
	ResultRejected Result = "rejected"
	// ResultFailed means that the server may or may not have carried it out.
	ResultFailed Result = "failed"
)

// IdleRank is the rank of a server that runs nothing.
const IdleRank = int(^uint(0) >> 1)

// Server is what the coordinator knows of one backend server.
type Server struct {
	// Live says that the server is in the list of live hosts or answers.
	Live bool
	// Leaving servers get no orders and don't count as replicas.
	Leaving bool
	// LoadedKnown says that Loaded was read from the server.
	LoadedKnown bool
	// Loaded are the models that the server has loaded, and their versions; a
	// version is empty if the server names none.
	Loaded map[string]string
	// ReportedAt is when the read of Loaded began.
	ReportedAt time.Time
	// Drained are the models that get no new work on the server and run none.
	Drained map[string]bool
	// RunningRank is the rank of the highest tier that runs on the server, or Idle.
	RunningRank int
}

// Inputs is what a decision depends on.
type Inputs struct {
	Policy *policy.Policy
	// Owner says that this host is the placement coordinator of its zone.
	Owner bool
	// Majority says that this host reaches more than half of the entry hosts
	// of its zone.
	Majority bool
	// Servers are those of the zone by name.
	Servers map[string]Server
}

// Config describes the host that decides.
type Config struct {
	Zone string
	// CoordinatorLifetime is how long an earlier coordinator may go on giving orders after
	// this one took over. Engines that ignore fencing numbers get no order
	// before it has passed.
	CoordinatorLifetime time.Duration
	// MaxPause is the longest silence between two calls of Tick after which the
	// host still takes itself for the coordinator.
	MaxPause time.Duration
	// AbsenceGrace is for how long a server may be gone before its models are
	// placed elsewhere.
	AbsenceGrace time.Duration
	// DrainLifetime is how long a server may be drained by the word of an earlier
	// coordinator. No version changes before it has passed, beyond Lifetime.
	DrainLifetime time.Duration
	// OrderTimeout is when an order without a result is given up.
	OrderTimeout time.Duration
}

// fencingEpoch is the Unix time in milliseconds from which starts are counted.
const fencingEpoch = 1_704_067_200_000 // 2024-01-01

// startTimeBits is the number of bits of a fencing number that hold the start. They
// last for 34 years; the other 23 bits hold 8 million generations.
const startTimeBits = 40

// maxGeneration is the highest generation that a fencing number holds.
const maxGeneration = 1<<(63-startTimeBits) - 1

// FencingNumber returns the number of a coordinator that took over at a time,
// under a policy generation. It grows first with the generation.
func FencingNumber(generation int, start time.Time) int {
	ms := max(start.UnixMilli()-fencingEpoch, 0) & (1<<startTimeBits - 1)
	return min(generation, maxGeneration)<<startTimeBits | int(ms)
}
