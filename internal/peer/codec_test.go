package peer

import (
	"testing"

	"mimosafront/internal/message"
)

// FuzzDecode checks that an accepted frame carries at most one message, and keeps its
// kind when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	for _, frame := range []*message.Frame{
		{}, {Grant: &message.Grant{Request: "r", Grant: "g", LifetimeMs: 2000}},
		{Ask: &message.Ask{Request: "r", Prefixes: []uint64{1, 2}}, Withdraw: &message.Withdraw{Request: "r"}},
	} {
		payload, err := c.encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Add([]byte{0xa1, 0x61, 0x78, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		frame, err := c.decode(payload)
		if err != nil {
			return
		}
		if frame.Kind() == message.KindMultiple {
			t.Fatal("a frame with several messages was accepted")
		}
		again, err := c.encode(frame)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := c.decode(again)
		if err != nil || decoded.Kind() != frame.Kind() {
			t.Errorf("after encoding and decoding again: %v, error %v", decoded, err)
		}
	})
}
