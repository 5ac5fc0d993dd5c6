package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest latency that a histogram holds.
const maxLatency = 20 * time.Second

// Result is what one run showed after its warm-up.
type Result struct {
	// Latency is of good answers in time, in microseconds.
	Latency *hdrhistogram.Histogram
	// Modest is of those of the accounts within their share.
	Modest *hdrhistogram.Histogram
	// Failed, Rejected and Collapses are counts.
	Failed, Rejected, Collapses int64
	// Served counts good answers in time that came in the measured time, also
	// to requests from before it.
	Served int64
	// Probes counts questions to servers.
	Probes int64
	// Control are bytes that are not requests, and Sent requests, by link.
	Control, Sent [linkCount]int64
	// Seconds is the measured time.
	Seconds float64
	// Capacity is what all slots serve, in requests per second.
	Capacity float64
}

// newResult returns an empty result.
func newResult() *Result {
	return &Result{
		Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		Modest:  hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// record adds a good answer.
func (r *Result) record(account int, took time.Duration) {
	_ = r.Latency.RecordValue(took.Microseconds())
	if account != 0 {
		_ = r.Modest.RecordValue(took.Microseconds())
	}
}

// Requests returns all requests that ended.
func (r *Result) Requests() int64 { return r.Latency.TotalCount() + r.Failed + r.Rejected }

// Quantile returns a latency in milliseconds; q is in percent.
func (r *Result) Quantile(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }

// Share returns n as a percentage of all requests.
func (r *Result) Share(n int64) float64 { return 100 * float64(n) / float64(max(r.Requests(), 1)) }

// Merge adds another run of the same case.
func (r *Result) Merge(o *Result) {
	r.Latency.Merge(o.Latency)
	r.Modest.Merge(o.Modest)
	r.Failed += o.Failed
	r.Rejected += o.Rejected
	r.Collapses += o.Collapses
	r.Served += o.Served
	r.Probes += o.Probes
	for i := range r.Control {
		r.Control[i] += o.Control[i]
		r.Sent[i] += o.Sent[i]
	}
	r.Seconds += o.Seconds
	r.Capacity = o.Capacity
}
