package gateway

import (
	"slices"
	"testing"
	"time"
)

// TestUnanswerable states which requests a stopping entry refuses: those that can't be answered with the others, and
// never one that a backend server may have.
func TestUnanswerable(t *testing.T) {
	const rate, forEver = 100_000, time.Hour
	upload := func(bytes int64) need {
		return need{receive: bytes, send: bytes, responseTime: 100 * time.Millisecond, limit: forEver}
	}
	with := func(n need, change func(*need)) need {
		change(&n)
		return n
	}
	passedOn := with(upload(90_000), func(n *need) { n.receive, n.passedOn = 0, true })
	for _, c := range []struct {
		name  string
		needs []need
		left  time.Duration
		rate  float64
		want  []int
	}{
		{"nothing", nil, time.Second, rate, nil},
		{"one that fits", []need{upload(40_000)}, time.Second, rate, nil},
		{"one that doesn't", []need{upload(50_000)}, time.Second, rate, []int{0}},
		{"a link of unknown rate", []need{upload(1 << 40)}, time.Second, 0, nil},
		{"the smaller of two", []need{upload(40_000), upload(30_000)}, time.Second, rate, []int{0}},
		{"two that fit together", []need{upload(40_000), upload(30_000)}, 1500 * time.Millisecond, rate, nil},
		{"one kept before goes first", []need{with(upload(40_000), func(n *need) { n.kept = true }), upload(30_000)}, time.Second, rate, []int{1}},
		{"one that was passed on takes its part", []need{upload(40_000), passedOn}, time.Second, rate, []int{0}},
		{"one that was passed on is never refused", []need{passedOn}, 0, rate, nil},
		{"one without an end goes last", []need{with(upload(10_000), func(n *need) { n.openEnded, n.kept = true, true }), upload(40_000)}, time.Second, rate, []int{0}},
		{"a long response", []need{{responseTime: 2 * time.Second, limit: forEver}}, time.Second, rate, []int{0}},
		{"a long response that its deadline ends", []need{{responseTime: 2 * time.Second, limit: time.Second}}, time.Second, rate, nil},
		{"a body behind which a long response follows", []need{upload(20_000), with(upload(20_000), func(n *need) { n.responseTime = 300 * time.Millisecond })}, time.Second, rate, []int{1}},
		{"responses that don't fit together", []need{{write: 60_000, limit: forEver}, {write: 50_000, limit: forEver}}, time.Second, rate, []int{0}},
		{"a response takes its part", []need{{write: 60_000, passedOn: true}, upload(25_000)}, time.Second, rate, []int{1}},
		{"no body doesn't wait for others", []need{upload(40_000), {responseTime: 900 * time.Millisecond, limit: forEver}}, time.Second, rate, nil},
	} {
		got := unanswerable(c.needs, c.left, c.rate)
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: refused %v, want %v", c.name, got, c.want)
		}
	}
}
