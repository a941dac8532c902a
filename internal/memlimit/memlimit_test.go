package memlimit

import (
	"sync"
	"testing"
)

func TestReservationsShareThePool(t *testing.T) {
	p := NewPool(100, 10)
	first, second := p.Reserve(), p.Reserve()
	for _, c := range []struct {
		r    *Reservation
		size int
		ok   bool
		used int
	}{
		{first, 10, true, 0},    // free
		{first, 60, true, 50},   // 10 are free
		{first, 40, true, 50},   // is covered already
		{second, 60, true, 100}, // the rest
		{second, 61, false, 100},
		{first, 60, true, 100},
	} {
		if got := c.r.Cover(c.size); got != c.ok || p.Used() != c.used {
			t.Fatalf("Cover(%d) is %t with %d bytes used, want %t and %d", c.size, got, p.Used(), c.ok, c.used)
		}
	}
	first.Release()
	first.Release()
	if !second.Cover(110) || p.Used() != 100 {
		t.Errorf("%d bytes used after a release", p.Used())
	}
	if !(*Pool)(nil).Reserve().Cover(1 << 40) {
		t.Error("a reservation without a pool has a limit")
	}
}

func TestConcurrentReservationsKeepTheLimit(t *testing.T) {
	p := NewPool(1000, 0)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range 200 {
				r := p.Reserve()
				for size := 0; size < 100 && r.Cover(size); size += 7 {
					if got := r.bytes; got > p.limit {
						t.Errorf("a reservation holds %d bytes", got)
					}
				}
				r.Release()
			}
		})
	}
	group.Wait()
	if p.Used() != 0 {
		t.Errorf("%d bytes stay reserved", p.Used())
	}
}
