package broker

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAgainstAllKnowing compares the broker with a central queue that knows
// all and decides in no time, at 19, 144 and 300 entries and as many servers to
// each. It reports the 99th percentile of the latencies of both in ms and their
// ratio, and the share of requests in time.
func BenchmarkAgainstAllKnowing(b *testing.B) {
	for name, whole := range map[string]load{"catalogue": catalogue(110, 1), "stock": stock(350, 1)} {
		for _, share := range []float64{0.5, 0.8, 1} {
			for _, entries := range []int{19, 144, 300} {
				l := whole
				l.entries, l.regions, l.zones, l.answerBytes, l.length = entries, 3, 2, 5000, 6*time.Second
				l.servers = l.servers * entries / 19
				l.rate *= share * float64(entries) / 19
				b.Run(fmt.Sprintf("%s/load=%v/entries=%d", name, share, entries), func(b *testing.B) {
					compare(b, l)
				})
			}
		}
	}
}

// compare replays a load against both.
func compare(b *testing.B, l load) {
	for b.Loop() {
		own := newSim(l).run()
		l.allKnowing = true
		limit := newSim(l).run()
		l.allKnowing = false
		p99, best := own.quantile(0.99), limit.quantile(0.99)
		b.ReportMetric(float64(p99.Milliseconds()), "p99-ms")
		b.ReportMetric(float64(best.Milliseconds()), "limit-p99-ms")
		b.ReportMetric(float64(p99)/float64(best), "ratio")
		b.ReportMetric(own.share(), "in-time")
		b.ReportMetric(limit.share(), "limit-in-time")
	}
}
