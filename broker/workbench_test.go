package broker

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAgainstIdealQueue compares the broker with a central queue that
// knows every slot and every pace and decides in no time, at 19, 144 and 300
// entries with a proportional number of servers. It reports the 99th
// percentiles of both latencies in ms and their ratio, and the share of
// requests in time.
func BenchmarkAgainstIdealQueue(b *testing.B) {
	for name, whole := range map[string]load{"catalogue": catalogue(110, 1), "stock": stock(350, 1)} {
		for _, share := range []float64{0.5, 0.8, 1} {
			for _, entries := range []int{19, 144, 300} {
				l := whole
				l.entries, l.regions, l.zones, l.responseBytes, l.length = entries, 3, 2, 5000, 6*time.Second
				l.servers = l.servers * entries / 19
				l.rate *= share * float64(entries) / 19
				b.Run(fmt.Sprintf("%s/load=%v/entries=%d", name, share, entries), func(b *testing.B) {
					compare(b, l)
				})
			}
		}
	}
}

// compare replays a load against both and reports the metrics.
func compare(b *testing.B, l load) {
	for b.Loop() {
		broker := newSimulation(l).run()
		l.idealQueue = true
		ideal := newSimulation(l).run()
		l.idealQueue = false
		p99, best := broker.quantile(0.99), ideal.quantile(0.99)
		b.ReportMetric(float64(p99.Milliseconds()), "p99-ms")
		b.ReportMetric(float64(best.Milliseconds()), "limit-p99-ms")
		b.ReportMetric(float64(p99)/float64(best), "ratio")
		b.ReportMetric(broker.share(), "in-time")
		b.ReportMetric(ideal.share(), "limit-in-time")
	}
}
