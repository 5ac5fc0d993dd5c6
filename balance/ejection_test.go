package balance

import (
	"testing"
	"time"
)

func TestEjectionGrowsAndEnds(t *testing.T) {
	var e Ejection
	now := time.Unix(100, 0)
	for _, want := range []time.Duration{minEjection, 2 * minEjection, 4 * minEjection} {
		e.Failed(now)
		if !e.Ejected(now.Add(want-1).UnixNano()) || e.Ejected(now.Add(want).UnixNano()) {
			t.Fatalf("ejection does not last %s", want)
		}
		now = now.Add(want)
	}
	e.Succeeded()
	e.Failed(now)
	if e.Ejected(now.Add(minEjection).UnixNano()) {
		t.Fatal("a response does not reset the length of ejections")
	}
}
