package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerbarrow/bench/load"
	"tanagerbarrow/verdict"
)

// maxLatency is the longest latency that is told apart.
const maxLatency = time.Minute

// Report is the result of an experiment.
type Report struct {
	// Started is when the experiment began.
	Started time.Time `json:"started"`
	// PhaseSeconds is the length of each phase.
	PhaseSeconds float64 `json:"phase_seconds"`
	// Runs are the runs of every profile and policy.
	Runs []Run `json:"runs"`
}

// Run is one profile under one policy.
type Run struct {
	// Profile and Policy name the run.
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	// Phases are the phases in order.
	Phases []PhaseResult `json:"phases"`
}

// PhaseResult is what happened in one phase.
type PhaseResult struct {
	// Phase names the phase.
	Phase string `json:"phase"`
	// Rate is the offered load in requests each second.
	Rate float64 `json:"rate"`
	// Kinds are the results of each kind of request.
	Kinds map[string]*KindResult `json:"kinds"`
	// OrdersTwice counts orders that ran more than once.
	OrdersTwice int `json:"orders_twice"`
	// WrongAnswers counts answers that belong to another request.
	WrongAnswers int `json:"wrong_answers"`
	// UntrueNotRun counts requests that ran although the caller was told
	// NotRun.
	UntrueNotRun int `json:"untrue_not_run"`
	// LateWorkInZone counts requests that began in the availability zone taken
	// out later than the bound after the confirmation.
	LateWorkInZone int `json:"late_work_in_zone"`
	// LastWorkInZoneMillis is when the last new request began there after the
	// confirmation.
	LastWorkInZoneMillis float64 `json:"last_work_in_zone_ms"`
	// EntryCores and ControlCores are the processor time used by all processes
	// of a role, in cores.
	EntryCores   float64 `json:"entry_cores"`
	ControlCores float64 `json:"control_cores"`
}

// KindResult is what happened to one kind of request in one phase.
type KindResult struct {
	// Sent and OK count requests.
	Sent int `json:"sent"`
	OK   int `json:"ok"`
	// Failures counts failed requests by verdict; requests without an answer
	// count as "none" and those never sent as "overrun".
	Failures map[string]int `json:"failures,omitempty"`
	// Example is one failure's text.
	Example string `json:"example,omitempty"`
	// P50, P99 and P999 are latencies of successful requests, in milliseconds.
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

// add counts one outcome.
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

// finish computes the quantiles.
func (k *KindResult) finish() {
	at := func(q float64) float64 { return float64(k.latencies.ValueAtQuantile(q)) / 1000 }
	k.P50, k.P99, k.P999 = at(50), at(99), at(99.9)
}

// audit holds the outcome against what the stand-ins recorded.
func (r *PhaseResult) audit(w *World, o *load.Outcome) {
	ran := w.runs(o.Token)
	if o.Kind == "order" && ran > 1 {
		r.OrdersTwice++
	}
	if o.WrongAnswer {
		r.WrongAnswers++
	}
	if o.Verdict == verdict.NotRun.String() && ran > 0 {
		r.UntrueNotRun++
	}
}
