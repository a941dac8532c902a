package operation

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTicket measures one ticket from minting to the stored answer.
func BenchmarkTicket(b *testing.B) {
	table := newTestTickets(DefaultLimits)
	now := epoch
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		ticket := table.Mint(now, "aurora", "registry")
		decision := table.Begin(now, ticket, ticketCall(ticket))
		table.Finish(decision.ID, replyWith("ran"))
		table.Expire(now)
	}
}

// BenchmarkKeeperBegin measures the decision about one key, with a view update
// before each decision as the service does it.
func BenchmarkKeeperBegin(b *testing.B) {
	view := viewOf(hostNames(37)...)
	keeper := newKeepers(view)["e0"]
	now := epoch.Add(2 * testWindow)
	i := 0
	for b.Loop() {
		i++
		now = now.Add(10 * time.Millisecond)
		keeper.SetView(now, view)
		decision := keeper.Begin(now, callWithKey(fmt.Sprint("key-", i), time.Time{}))
		if decision.Action == ActionRun {
			keeper.Finish(now, decision.ID, replyWith("ran"))
		}
	}
}

// BenchmarkViewChange measures a membership change that moves ranges.
func BenchmarkViewChange(b *testing.B) {
	all := hostNames(37)
	keeper := newKeepers(viewOf(all...))["e0"]
	views := []View{viewOf(all[:36]...), viewOf(all...)}
	now := epoch
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		keeper.SetView(now, views[i%2])
	}
}

func hostNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
	}
	return names
}
