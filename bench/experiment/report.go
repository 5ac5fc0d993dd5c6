package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerbarrow/bench/load"
	"tanagerbarrow/verdict"
)

// maxLatency is the longest latency that the histograms distinguish; longer ones
// count as this.
const maxLatency = time.Minute

// Report is the result of an experiment.
type Report struct {
	// Started is the start time of the experiment.
	Started time.Time `json:"started"`
	// PhaseSeconds is the length of each phase, in seconds.
	PhaseSeconds float64 `json:"phase_seconds"`
	// Runs are the results for every profile and policy.
	Runs []Run `json:"runs"`
}

// Run is the result of one profile under one policy.
type Run struct {
	// Profile and Policy name the run.
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	// Phases are the results of the phases in order.
	Phases []PhaseResult `json:"phases"`
}

// PhaseResult is the result of one phase.
type PhaseResult struct {
	// Phase names the phase.
	Phase string `json:"phase"`
	// Rate is the offered load in requests per second.
	Rate float64 `json:"rate"`
	// Kinds are the results of each kind of request.
	Kinds map[string]*KindResult `json:"kinds"`
	// OrdersTwice counts orders that ran more than once.
	OrdersTwice int `json:"orders_twice"`
	// WrongAnswers counts responses that belong to another request.
	WrongAnswers int `json:"wrong_answers"`
	// UntrueNotRun counts requests that ran although the response carried the
	// verdict NotRun.
	UntrueNotRun int `json:"untrue_not_run"`
	// LateWorkInZone counts requests that arrived in the availability zone taken
	// out more than maxZoneOutDelay after the confirmation.
	LateWorkInZone int `json:"late_work_in_zone"`
	// LastWorkInZoneMillis is the time from the confirmation to the last arrival
	// of a request in that zone, in milliseconds.
	LastWorkInZoneMillis float64 `json:"last_work_in_zone_ms"`
	// EntryCores and ControlCores are the processor time used by all processes
	// of each role, in cores.
	EntryCores   float64 `json:"entry_cores"`
	ControlCores float64 `json:"control_cores"`
}

// KindResult is the result of one kind of request in one phase.
type KindResult struct {
	// Sent counts all requests, including overruns, and OK the successful ones.
	Sent int `json:"sent"`
	OK   int `json:"ok"`
	// Failures counts failed requests by verdict; those without a verdict count
	// as "none" and those never sent as "overrun".
	Failures map[string]int `json:"failures,omitempty"`
	// Example is the error of the last failed request.
	Example string `json:"example,omitempty"`
	// P50, P99 and P999 are latency percentiles of successful requests, in
	// milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	latencies *hdrhistogram.Histogram
}

// newKindResult returns an empty result.
func newKindResult() *KindResult {
	return &KindResult{
		Failures:  map[string]int{},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// add records one outcome.
func (k *KindResult) add(o *load.Outcome) {
	k.Sent++
	if o.OK() {
		k.OK++
		_ = k.latencies.RecordValue(min(o.Latency, maxLatency).Microseconds())
		return
	}
	class := o.Verdict
	switch {
	case o.Overrun:
		class = "overrun"
	case class == "":
		class = "none"
	}
	k.Failures[class]++
	k.Example = o.Failure
}

// finish computes the latency percentiles.
func (k *KindResult) finish() {
	millisAt := func(q float64) float64 { return float64(k.latencies.ValueAtQuantile(q)) / 1000 }
	k.P50, k.P99, k.P999 = millisAt(50), millisAt(99), millisAt(99.9)
}

// checkAgainstRecords compares one outcome with the records of the stand-ins and
// counts violations.
func (r *PhaseResult) checkAgainstRecords(d *Deployment, o *load.Outcome) {
	runCount := d.runCount(o.Token)
	if o.Kind == "order" && runCount > 1 {
		r.OrdersTwice++
	}
	if o.WrongAnswer {
		r.WrongAnswers++
	}
	if o.Verdict == verdict.NotRun.String() && runCount > 0 {
		r.UntrueNotRun++
	}
}
