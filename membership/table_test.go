package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func TestLeaverNeverReturnsInItsGeneration(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(time.Hour)
		now := time.Unix(0, 0)
		var newest, left uint64
		for range rapid.IntRange(1, 40).Draw(t, "n") {
			b := BackendServer{
				Service: "s", Address: address, Slots: 1,
				Generation: rapid.Uint64Range(1, 4).Draw(t, "generation"),
				Sequence:   rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				State:      rapid.SampledFrom([]State{Cold, Ready, Leaving}).Draw(t, "state"),
			}
			err := table.Put(b, now)
			if err != nil && !errors.Is(err, ErrOldGeneration) {
				t.Fatal(err)
			}
			newest = max(newest, b.Generation)
			if b.State == Leaving && b.Generation == newest {
				left = max(left, b.Generation)
			}
			for _, got := range table.View().Services["s"] {
				if got.Generation != newest || got.Generation == left {
					t.Fatalf("in the view: generation %d, newest %d, left %d", got.Generation, newest, left)
				}
			}
		}
	})
}
