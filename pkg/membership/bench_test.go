package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// BenchmarkHeartbeats measures one second of heartbeats at one Instance of a quiet
// fleet: receiving, sending and encoding. Bytes count both directions and 70 bytes
// of framing per message.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []int{8, 80, 330} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			m := newTest(size)
			var wire bytes.Buffer
			encoder := gob.NewEncoder(&wire)
			next, messages, sent := 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				// Two seconds, as the jitter makes a round due up to 10% late.
				now := core.Instant(i) * core.Instant(2*time.Second)
				for range min(DefaultFanout, size-1) {
					next = next%(size-1) + 1
					h := beat(next, 1, 1)
					h.Seq = uint64(i) + 1
					h.Echo = m.seq
					h.EchoOf = 1
					m.OnHeartbeat(now, h)
				}
				for _, o := range m.Tick(now) {
					if send, ok := o.(SendHeartbeat); ok {
						messages++
						if err := encoder.Encode(send.Heartbeat); err != nil {
							b.Fatal(err)
						}
					}
				}
				sent += wire.Len()
				wire.Reset()
			}
			b.ReportMetric(2*float64(sent+70*messages)/float64(b.N), "wire-B/op")
		})
	}
}
