package rollout

import (
	"math"
	"time"
)

// What counts as a bad response.
const (
	// slowFactor is the multiple of the baseline's median time on the same route, corrected for
	// pace and load, from which a response is slow, and slowExtra a time that routes with very
	// short responses may take beyond it.
	slowFactor = 3.0
	slowExtra  = 30 * time.Millisecond
	// minTimedAnswers is the number of baseline responses from which a median is used.
	minTimedAnswers = 10
	// canaryAnswers and baselineAnswers are the numbers of responses that are remembered.
	canaryAnswers   = 2048
	baselineAnswers = 4096
)

// Observation is how one attempt on a server ended.
type Observation struct {
	// Server identifies the server, and Canary says that it is of the new version.
	Server uint32
	Canary bool
	Route  string
	// Failed says that the server failed the request.
	Failed bool
	// Elapsed is how long the response took, or so far; 0 if that says nothing. Slowdown is how
	// much longer the pace and the load of the server make its work take.
	Elapsed  time.Duration
	Slowdown float64
	// Loaded says that most slots of the server were in use.
	Loaded bool
	// Began is when the request was sent, and At when it ended or was found to be overdue.
	Began, At time.Time
}

// answer is an observation in which times have been judged.
type answer struct {
	server uint32
	route  int
	// at is when the answer was known, and began when its request was sent.
	at, began time.Time
	failed    bool
	// timed says that slow is known.
	timed, slow bool
	// relative is the corrected time, as a multiple of the baseline's median.
	relative float32
	loaded   bool
}

// kind is a way in which responses are bad.
type kind int

const (
	failures kind = iota
	slowness
)

// String returns the kind's name in figures.
func (k kind) String() string {
	if k == slowness {
		return "slow"
	}
	return "failed"
}

// counts reports whether an answer is evidence about a kind, and whether it is bad.
func (a *answer) counts(k kind) (counts, bad bool) {
	if k == slowness {
		return a.timed, a.slow
	}
	return true, a.failed
}

// ring holds the last answers.
type ring struct {
	answers []answer
	next    int
}

// add appends an answer, in place of the oldest one once the ring has size answers.
func (r *ring) add(a answer, size int) {
	if len(r.answers) < size {
		r.answers = append(r.answers, a)
		return
	}
	r.answers[r.next] = a
	r.next = (r.next + 1) % size
}

// back returns the answer that is n behind the newest one.
func (r *ring) back(n int) *answer {
	return &r.answers[(r.next+2*len(r.answers)-1-n)%len(r.answers)]
}

// The scale of the times of a route: timeSteps steps of the ratio timeStep from a millisecond on.
const (
	timeStep  = 1.12
	timeSteps = 100
	// maxTimeWeight is the number of responses whose times are weighted fully.
	maxTimeWeight = 400
)

// times is a histogram of response times in which older ones lose weight.
type times struct {
	steps [timeSteps]float64
	total float64
}

// add adds a time.
func (t *times) add(d time.Duration) {
	at := int(math.Log(max(d.Seconds()*1000, 1)) / math.Log(timeStep))
	t.steps[min(at, timeSteps-1)]++
	t.total++
	if t.total <= maxTimeWeight {
		return
	}
	t.total = 0
	for i := range t.steps {
		t.steps[i] /= 2
		t.total += t.steps[i]
	}
}

// median returns the median time, and false with too few times.
func (t *times) median() (time.Duration, bool) {
	if t.total < minTimedAnswers {
		return 0, false
	}
	sum := 0.0
	for i, n := range t.steps {
		if sum += n; sum >= t.total/2 {
			return time.Duration(math.Pow(timeStep, float64(i)+0.5) * float64(time.Millisecond)), true
		}
	}
	return 0, false
}
