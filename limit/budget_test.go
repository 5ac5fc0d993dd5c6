package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBudgetIsNeverExceededOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond = 10_000
		start := time.Unix(100, 0)
		now := start
		parts := make([]*Budget, rapid.IntRange(1, 20).Draw(t, "entries"))
		for i := range parts {
			parts[i] = NewBudget(perSecond, len(parts), now)
		}
		spent := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			units := rapid.IntRange(0, 2000).Draw(t, "units")
			if parts[rapid.IntRange(0, len(parts)-1).Draw(t, "entry")].Spend(units, now) {
				spent += units
			}
			if maxUnits := now.Sub(start).Seconds() * perSecond; float64(spent) > maxUnits+1e-6 {
				t.Fatalf("%d units spent in %s, at most %.0f are allowed", spent, now.Sub(start), maxUnits)
			}
		}
	})
}
