package retryslot

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, rapidtest.Config{Checks: 300, Steps: 80})) }

var start = time.Unix(1_700_000_000, 0)

// rate is the speed of the pool in the tests, in tokens per second.
const rate = 4000

func key(organisation string, n int) Key {
	return Key{Organisation: organisation, Caller: "crew", Tier: 1, Fingerprint: uint64(n + 1)}
}

func work(tokens float64, wait time.Duration) Work {
	return Work{Tokens: tokens, Arrived: start, BacklogTime: wait, Rate: rate}
}

// TestFloodReturnsAtPoolRate refuses 1,000 requests of four organisations at once, as a
// full queue does. With one delay for all, they would all come back at once.
func TestFloodReturnsAtPoolRate(t *testing.T) {
	const (
		requests = 1000
		tokens   = 80
		wait     = 2 * time.Second
	)
	r := New(1)
	bySlot := map[int64]float64{}
	for i := range requests {
		after := r.Reserve(start, key(fmt.Sprint("org-", i%4), i), work(tokens, wait))
		if after < wait {
			t.Errorf("request %d: retry after %s, before the backlog is done", i, after)
		}
		bySlot[slotNumber(start.Add(after))] += tokens
	}
	for n, sum := range bySlot {
		if sum > rate*slotLength.Seconds()+tokens {
			t.Errorf("slot %d: %.0f tokens come back, the pool can do %.0f", n, sum, rate*slotLength.Seconds())
		}
	}
	// At four fifths of the rate, 80,000 tokens take 25 s.
	if len(bySlot) < 80 {
		t.Errorf("the requests come back in %d slots only", len(bySlot))
	}
}

// TestManySmallOrganisationsAreSpread refuses one request of each of a thousand
// organisations.
func TestManySmallOrganisationsAreSpread(t *testing.T) {
	r := New(1)
	bySlot := map[int64]float64{}
	for i := range 1000 {
		after := r.Reserve(start, key(fmt.Sprint("org-", i), i), work(100, 0))
		bySlot[slotNumber(start.Add(after))] += 100
	}
	for n, sum := range bySlot {
		if sum > rate*slotLength.Seconds()+100 {
			t.Errorf("slot %d: %.0f tokens come back", n, sum)
		}
	}
}

// TestSmallOrganisationIsNotDelayedByFlood refuses many requests of a large
// organisation and then one of a small one.
func TestSmallOrganisationIsNotDelayedByFlood(t *testing.T) {
	r := New(1)
	for i := range 2000 {
		r.Reserve(start, key("large", i), work(100, time.Second))
	}
	if after := r.Reserve(start, key("small", 0), work(100, time.Second)); after > 2*time.Second {
		t.Errorf("the small organisation: retry after %s", after)
	}
}

// TestHigherTierIgnoresLowerTierReservations books a flood of a low tier and then a
// request of a higher one.
func TestHigherTierIgnoresLowerTierReservations(t *testing.T) {
	r := New(1)
	for i := range 4000 {
		r.Reserve(start, key(fmt.Sprint("org-", i%7), i), work(100, time.Second))
	}
	k := key("org-0", 0)
	k.Tier = 0
	if after := r.Reserve(start, k, work(100, time.Second)); after > 1500*time.Millisecond {
		t.Errorf("the higher tier: retry after %s", after)
	}
}

func TestReservationIsRedeemedOnTime(t *testing.T) {
	for name, test := range map[string]struct {
		offset   time.Duration
		redeemed bool
	}{
		"early":              {-earlyTolerance - time.Millisecond, false},
		"a little early":     {-earlyTolerance, true},
		"on time":            {0, true},
		"late":               {lateTolerance, true},
		"too late":           {lateTolerance + time.Millisecond, false},
		"rounded up seconds": {time.Second, true},
	} {
		r := New(1)
		k := key("north", 1)
		after := r.Reserve(start, k, Work{Tokens: 100, Arrived: start.Add(-time.Second), BacklogTime: 2 * time.Second, Rate: rate})
		arrived, ok := r.Redeem(start.Add(after+test.offset), k)
		if ok != test.redeemed || ok && !arrived.Equal(start.Add(-time.Second)) {
			t.Errorf("%s: redeemed %t, arrived %s", name, ok, arrived)
		}
		if _, again := r.Redeem(start.Add(after+test.offset), k); again {
			t.Errorf("%s: the reservation was redeemed twice", name)
		}
	}
}

// TestEarlyReturnKeepsReservation checks that a caller who comes back early gets
// neither an earlier nor a later time, nor another queue position.
func TestEarlyReturnKeepsReservation(t *testing.T) {
	r := New(1)
	k := key("north", 1)
	at := start.Add(r.Reserve(start, k, work(100, 4*time.Second)))
	for i := range 10 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		if again := now.Add(r.Reserve(now, k, Work{Tokens: 100, Arrived: now, Rate: rate})); !again.Equal(at) {
			t.Errorf("at %s: retry at %s, want %s", now.Sub(start), again.Sub(start), at.Sub(start))
		}
	}
	if arrived, ok := r.Redeem(at, k); !ok || !arrived.Equal(start) {
		t.Errorf("on time: redeemed %t, arrived %s", ok, arrived)
	}
}

func TestWorkThatCannotBeBookedIsSpread(t *testing.T) {
	r := New(1)
	seen := map[time.Duration]bool{}
	for i := range 100 {
		for _, w := range []Work{{Tokens: 100}, work(1, 2*horizon)} {
			after := r.Reserve(start, key("north", i), w)
			if after < horizon || after >= 2*horizon {
				t.Errorf("retry after %s", after)
			}
			seen[after] = true
		}
	}
	if len(seen) < 150 || r.Len() > 0 {
		t.Errorf("%d different delays of 200, %d reservations", len(seen), r.Len())
	}
}

// TestFullReservationsAdmitUnderShare books more work of one organisation than the pool
// can do until the horizon. Another organisation must still get an early slot.
func TestFullReservationsAdmitUnderShare(t *testing.T) {
	r := New(1)
	booked := 0.0
	for i := range 10000 {
		if r.Reserve(start, key("large", i), work(100, 0)) < horizon {
			booked += 100
		}
	}
	if capacity := maxSlotFill * rate * (horizon + 2*slotLength).Seconds(); booked > 1.1*capacity || booked < 0.9*capacity {
		t.Errorf("%.0f tokens booked, up to the horizon the pool can do %.0f in the bookable share", booked, capacity)
	}
	if after := r.Reserve(start, key("small", 0), work(100, 0)); after > time.Second {
		t.Errorf("another organisation: retry after %s", after)
	}
}

// TestLargeRequestTakesSeveralSlots books a request that takes the pool four seconds.
func TestLargeRequestTakesSeveralSlots(t *testing.T) {
	r := New(1)
	r.Reserve(start, key("north", 0), work(4*maxSlotFill*rate, 0))
	after := r.Reserve(start, key("north", 1), work(100, 0))
	if after < 4*time.Second || after > 5*time.Second {
		t.Errorf("the next request: retry after %s", after)
	}
}

// TestLargeRequestAtTheHorizonKeepsReservations books more work near the horizon than
// the slots left before it can take. Earlier reservations must stay.
func TestLargeRequestAtTheHorizonKeepsReservations(t *testing.T) {
	r := New(1)
	at := start.Add(r.Reserve(start, key("north", 0), work(100, 0)))
	r.Reserve(start, key("south", 0), work(rate*horizon.Seconds(), horizon-time.Second))
	if _, ok := r.Redeem(at, key("north", 0)); !ok {
		t.Error("the reservation of an earlier request was lost")
	}
}

func TestRequestWithoutFingerprintHasNoReservation(t *testing.T) {
	r := New(1)
	k := Key{Organisation: "north", Caller: "crew"}
	first := r.Reserve(start, k, work(rate, 0))
	if second := r.Reserve(start, k, work(rate, 0)); second <= first {
		t.Errorf("retry after %s and %s", first, second)
	}
	if _, ok := r.Redeem(start.Add(first), k); ok || r.Len() > 0 {
		t.Error("a reservation was stored")
	}
}

// TestReservationsStayBounded books and redeems at random, and checks the bounds of the
// memory and of the work in each slot.
func TestReservationsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now, next := New(1), start, 0
		bookedBySlot := map[int64]float64{}
		type issued struct {
			key Key
			at  time.Time
		}
		var issuedReservations []issued
		t.Repeat(map[string]func(*rapid.T){
			"refuse": func(t *rapid.T) {
				next++
				k := key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), next)
				wait := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "wait")) * time.Millisecond
				after := r.Reserve(now, k, Work{Tokens: 100, Arrived: now, BacklogTime: wait, Rate: rate})
				if after < wait {
					t.Fatalf("retry after %s, the backlog takes %s", after, wait)
				}
				if after < horizon {
					bookedBySlot[slotNumber(now.Add(after))] += 100
					issuedReservations = append(issuedReservations, issued{k, now.Add(after)})
				}
			},
			"return": func(t *rapid.T) {
				if len(issuedReservations) == 0 {
					t.Skip("no reservation was issued")
				}
				i := rapid.IntRange(0, len(issuedReservations)-1).Draw(t, "reservation")
				p := issuedReservations[i]
				issuedReservations = append(issuedReservations[:i], issuedReservations[i+1:]...)
				onTime := !now.Before(p.at.Add(-earlyTolerance)) && !now.After(p.at.Add(lateTolerance))
				if _, ok := r.Redeem(now, p.key); ok != onTime {
					t.Fatalf("redeemed %t at %s from the reserved time", ok, now.Sub(p.at))
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "time")) * time.Millisecond)
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				for n, sum := range bookedBySlot {
					if sum > rate*slotLength.Seconds()+100 {
						t.Fatalf("slot %d: %.0f tokens come back", n, sum)
					}
				}
				if len(r.reservations) > next || len(r.accounts) > 3 {
					t.Fatalf("%d reservations and %d organisations", len(r.reservations), len(r.accounts))
				}
			},
		})
		r.Expire(now.Add(2 * horizon))
		if r.Len() > 0 || len(r.accounts) > 0 || r.activeAccounts != [MaxTiers]int{} {
			t.Fatalf("after all has expired: %d reservations, %d organisations", r.Len(), len(r.accounts))
		}
	})
}

// BenchmarkReserve measures the refusal of one request, by the number of organisations
// in the flood.
func BenchmarkReserve(b *testing.B) {
	for _, organisations := range []int{10, 100, 400, 1600} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			names := make([]string, organisations)
			for i := range names {
				names[i] = fmt.Sprint("org-", i)
			}
			r, now := New(1), start
			for i := 0; b.Loop(); i++ {
				if i%200 == 0 {
					now = now.Add(time.Second)
					r.Expire(now)
				}
				r.Reserve(now, key(names[i%organisations], i), work(100, 2*time.Second))
			}
		})
	}
}

// BenchmarkReservationBytes measures the memory of the reservations.
func BenchmarkReservationBytes(b *testing.B) {
	for _, count := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprint("reservations=", count), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				r := New(1)
				for i := range count {
					w := work(10, 2*time.Second)
					w.Rate = 100 * rate
					r.Reserve(start, key("org", i), w)
				}
				if r.Len() != count {
					b.Fatalf("%d reservations", r.Len())
				}
				b.ReportMetric(float64(heapBytes()-before), "B")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
