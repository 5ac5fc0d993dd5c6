package balance

import (
	"net/netip"
	"testing"
	"time"
)

func TestEjectionGrowsAndEnds(t *testing.T) {
	var e Ejector
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	now := time.Unix(100, 0)
	for _, want := range []time.Duration{minEjection, 2 * minEjection, 4 * minEjection} {
		e.Failed(address, now)
		if !e.Ejected(address, now.Add(want-1)) || e.Ejected(address, now.Add(want)) {
			t.Fatalf("ejection does not last %s", want)
		}
		now = now.Add(want)
	}
	e.Succeeded(address)
	e.Failed(address, now)
	if e.Ejected(address, now.Add(minEjection)) {
		t.Fatal("an answer does not reset the length of ejections")
	}
}
