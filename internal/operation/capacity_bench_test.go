package operation

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosafront/internal/heaptest"
	"mimosafront/internal/message"
)

// BenchmarkRecords measures the heap size of a table of finished operations,
// each with an answer of 200 bytes.
func BenchmarkRecords(b *testing.B) {
	const answerBytes = 200
	begin := time.Unix(1_700_000_000, 0)
	for _, size := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprint("records=", size), func(b *testing.B) {
			for range b.N {
				table := newRecordTable(Limits{MaxRecords: size, MaxPerOrganisation: size, MaxAnswerBytes: answerBytes, MaxBytes: 1 << 30})
				before := float64(heaptest.InUse())
				for i := range size {
					id := fmt.Sprintf("1700000000000-operation-%08d", i)
					table.insert(&record{id: id, organisation: "aurora", fingerprint: uint64(i), startedAt: begin, expiresAt: begin.Add(time.Hour)})
					table.finish(id, message.OperationReply{
						Verdict: message.OperationReplyVerdictRan, Status: 201, Body: make([]byte, answerBytes),
					})
				}
				b.ReportMetric(float64(heaptest.InUse())-before, "heap-bytes")
				runtime.KeepAlive(table)
			}
		})
	}
}

// BenchmarkJoinHandover measures the messages with which a keeper hands half of
// its ranges to a joining host. Each finished operation has an answer of 200
// bytes.
func BenchmarkJoinHandover(b *testing.B) {
	for _, size := range []int{1000, 4000, 8000, 16000} {
		b.Run(fmt.Sprint("records=", size), func(b *testing.B) {
			parts, bytes, records := 0, 0, 0
			for b.Loop() {
				parts, bytes, records = 0, 0, 0
				for _, part := range keeperBeforeJoin(size).JoinHandover(epoch) {
					frame, err := cbor.Marshal(&message.Frame{KeyHandover: &part})
					if err != nil {
						b.Fatal(err)
					}
					parts, bytes, records = parts+1, bytes+len(frame), records+len(part.Records)
				}
			}
			b.ReportMetric(float64(parts), "parts")
			b.ReportMetric(float64(records), "moved-records")
			b.ReportMetric(float64(bytes), "wire-bytes")
		})
	}
}

// keeperBeforeJoin returns a keeper with size finished operations whose view
// has just gained a second host.
func keeperBeforeJoin(size int) *Keeper {
	k := newKeepers(viewOf("e1"))["e1"]
	for i := range size {
		call := callWithKey(fmt.Sprintf("%d-operation-%08d", epoch.UnixMilli(), i), time.Time{})
		id := keyID(call)
		k.records.insert(&record{id: id, organisation: "aurora", fingerprint: fingerprint(call), keyRange: rangeOf(id), startedAt: epoch})
		k.Finish(epoch, id, message.OperationReply{Verdict: message.OperationReplyVerdictRan, Status: 201, Body: make([]byte, 200)})
	}
	k.SetView(epoch, viewOf("e1", "e2"))
	return k
}
