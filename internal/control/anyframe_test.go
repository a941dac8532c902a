package control

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
)

// anyValue fills a value with random content: known names beside unknown ones, and
// numbers at the ends of their ranges.
func anyValue(r *rand.Rand, v reflect.Value, depth int) {
	names := []string{"", "a1", "a2", "b1", "m", "a", "b", "alive", "dead", "leaving", "joining", "\x00", "engravers", "r-1"}
	numbers := []int64{0, 1, -1, 2, 1000, math.MaxInt64, math.MinInt64, math.MaxInt32, time.Now().UnixMilli()}
	switch v.Kind() {
	case reflect.String:
		v.SetString(names[r.IntN(len(names))])
	case reflect.Int, reflect.Int64:
		v.SetInt(numbers[r.IntN(len(numbers))])
	case reflect.Uint64:
		v.SetUint(uint64(numbers[r.IntN(len(numbers))]))
	case reflect.Float64:
		v.SetFloat([]float64{0, 1, -1, math.MaxFloat64, math.SmallestNonzeroFloat64}[r.IntN(5)])
	case reflect.Bool:
		v.SetBool(r.IntN(2) == 0)
	case reflect.Pointer:
		if depth == 0 || r.IntN(4) > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			anyValue(r, v.Elem(), depth+1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), r.IntN(4), 4))
		for i := range v.Len() {
			anyValue(r, v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range r.IntN(3) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			anyValue(r, key, depth+1)
			anyValue(r, value, depth+1)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			anyValue(r, v.Field(i), depth+1)
		}
	}
}

// TestNoFrameEndsAHost guards against a malformed message that takes the process down or
// keeps it busy for good: frames of each kind with any content, from known and unknown
// hosts, more of each than the caches hold.
func TestNoFrameEndsAHost(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3", "b1")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		eventually(t, "each zone has one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		r := rand.New(rand.NewPCG(2, 2))
		frame := reflect.TypeFor[message.Frame]()
		for i := range frame.NumField() {
			for range 3000 {
				f := &message.Frame{}
				anyValue(r, reflect.ValueOf(f).Elem().Field(i), 0)
				hosts[r.IntN(len(hosts))].loop.Frame([]string{"a1", "a2", "b1", "nobody"}[r.IntN(4)], f)
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, h := range hosts {
			if status := h.loop.Status(t.Context()); len(status.Members) == 0 {
				t.Errorf("host %s has no status", h.name)
			}
		}
	})
}
