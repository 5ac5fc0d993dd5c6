package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest latency that a histogram records.
const maxLatency = 20 * time.Second

// Result holds the measurements of one or more runs, without the warm-up.
type Result struct {
	// Latency records the latency of good answers before the deadline, in
	// microseconds.
	Latency *hdrhistogram.Histogram
	// FairShareLatency is the part of Latency of the accounts within their fair share,
	// in microseconds.
	FairShareLatency *hdrhistogram.Histogram
	// Failed and Rejected count requests, Collapses counts collapses of cold servers.
	Failed, Rejected, Collapses int64
	// Served counts good answers before the deadline that were received during the
	// measurement, including those to requests that arrived before it.
	Served int64
	// Probes counts load probes that were sent to servers.
	Probes int64
	// ControlBytes counts the bytes of messages that are not requests, and RequestsSent
	// the requests, by link class.
	ControlBytes, RequestsSent [linkClassCount]int64
	// MeasuredSeconds is the length of the measurement, in seconds.
	MeasuredSeconds float64
	// Capacity is the throughput of all slots, in requests per second.
	Capacity float64
}

// newResult returns an empty result.
func newResult() *Result {
	return &Result{
		Latency:          hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		FairShareLatency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// recordGoodAnswer records the latency of a good answer.
func (r *Result) recordGoodAnswer(account int, latency time.Duration) {
	_ = r.Latency.RecordValue(latency.Microseconds())
	if account != 0 {
		_ = r.FairShareLatency.RecordValue(latency.Microseconds())
	}
}

// Requests returns the number of requests that ended, in any way.
func (r *Result) Requests() int64 { return r.Latency.TotalCount() + r.Failed + r.Rejected }

// QuantileMillis returns a quantile of the latency in milliseconds; q is in percent.
func (r *Result) QuantileMillis(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(q)) / 1000
}

// Percent returns n as a percentage of all requests that ended.
func (r *Result) Percent(n int64) float64 { return 100 * float64(n) / float64(max(r.Requests(), 1)) }

// Merge adds the measurements of another run of the same case.
func (r *Result) Merge(o *Result) {
	r.Latency.Merge(o.Latency)
	r.FairShareLatency.Merge(o.FairShareLatency)
	r.Failed += o.Failed
	r.Rejected += o.Rejected
	r.Collapses += o.Collapses
	r.Served += o.Served
	r.Probes += o.Probes
	for i := range r.ControlBytes {
		r.ControlBytes[i] += o.ControlBytes[i]
		r.RequestsSent[i] += o.RequestsSent[i]
	}
	r.MeasuredSeconds += o.MeasuredSeconds
	r.Capacity = o.Capacity
}
