package serving

import (
	"slices"
	"testing"
	"time"
)

// TestWorstAreThoseThatHoldMostForLongest checks who is closed to make room.
func TestWorstAreThoseThatHoldMostForLongest(t *testing.T) {
	all := []holding{
		0: {phase: phaseIdle, waiting: true, waited: 9 * time.Second, bytes: connectionBytes},
		1: {phase: phaseBody, waiting: true, waited: 5 * time.Second, bytes: 1 << 20},
		2: {phase: phaseBody, waiting: true, waited: 5 * time.Second, bytes: 1 << 20, progress: 1 << 20},
		3: {phase: phaseResponse, waiting: true, waited: 9 * time.Second, bytes: 1 << 20},
		4: {phase: phaseServing, waiting: true, waited: time.Hour, bytes: 1 << 30},
		5: {phase: phaseBody, waiting: false, waited: time.Hour, bytes: 1 << 30},
		6: {phase: phaseHead, waiting: true, waited: minReclaimWait / 2, bytes: 1 << 30},
	}
	for _, c := range []struct {
		count int
		bytes int64
		want  []int
	}{
		{0, 0, nil}, {1, 0, []int{3}}, {0, 1 << 20, []int{3}}, {0, 1<<20 + 1, []int{3, 1}}, {3, 0, []int{3, 1, 0}}, {100, 0, []int{3, 1, 0, 2}},
	} {
		if got := worst(all, c.count, c.bytes); !slices.Equal(got, c.want) {
			t.Errorf("%d connections, %d bytes: %v, want %v", c.count, c.bytes, got, c.want)
		}
	}
}

// TestLeastRate checks who is too slow: nobody before a window has passed, nobody at the least rate
// and nobody for whom the process doesn't wait.
func TestLeastRate(t *testing.T) {
	enough := int64(minTransferRate * transferWindow.Seconds())
	for _, c := range []struct {
		holding
		want bool
	}{
		{holding{phase: phaseBody, waiting: true, waited: transferWindow, progress: enough - 1}, true},
		{holding{phase: phaseResponse, waiting: true, waited: transferWindow, progress: enough - 1}, true},
		{holding{phase: phaseBody, waiting: true, waited: transferWindow, progress: enough}, false},
		{holding{phase: phaseBody, waiting: true, waited: transferWindow - 1}, false},
		{holding{phase: phaseBody, waited: time.Hour}, false},
		{holding{phase: phaseServing, waiting: true, waited: time.Hour}, false},
		{holding{phase: phaseIdle, waiting: true, waited: time.Hour}, false},
	} {
		if got := c.tooSlow(); got != c.want {
			t.Errorf("%+v: %v", c.holding, got)
		}
	}
}
