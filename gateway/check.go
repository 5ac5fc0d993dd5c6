package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
	"tanagerbarrow/rhythm"
)

// The constants of health checks.
const (
	// checkTimeout bounds one check.
	checkTimeout = 500 * time.Millisecond
	// paceStep is the change of a pace, in percent, that is worth telling.
	paceStep = 20
	// plainPeriod is the time between checks of servers that tell no pace or
	// don't answer.
	plainPeriod = time.Second
	// retellAfter repeats an unchanged sample, so that the broker knows that the
	// server lives.
	retellAfter = 2 * time.Second
	// idleWait is the longest sleep of the checker, after which it looks for
	// servers that it was given meanwhile.
	idleWait = 200 * time.Millisecond
)

// checker does the health checks that the broker shares out. It samples each
// server's pace in the rhythm in which it changes.
type checker struct {
	view      *view
	exchanger *backend.Exchanger
	dialect   backend.Dialect
	report    func([]broker.Sample)
	begun     time.Time
	// shortest is the least time between two checks of one server that the
	// deployment allows.
	shortest time.Duration

	// planned wakes the duty when a check was planned.
	planned chan struct{}

	mu      sync.Mutex
	targets map[string]*target
}

// target is a server that is checked.
type target struct {
	number  uint32
	learner rhythm.Learner
	// next is when the next check is due.
	next   time.Duration
	busy   bool
	sample broker.Sample
	told   time.Duration
}

// newChecker returns a checker without servers to check. checksPerSecond bounds
// the checks of one server; 0 for no bound.
func newChecker(v *view, d backend.Dialect, checksPerSecond float64, report func([]broker.Sample)) *checker {
	c := &checker{
		view: v, exchanger: backend.NewExchangerOf(d), dialect: d, report: report,
		begun: time.Now(), targets: map[string]*target{}, planned: make(chan struct{}, 1),
	}
	if checksPerSecond > 0 {
		c.shortest = time.Duration(float64(time.Second) / checksPerSecond)
	}
	return c
}

// assign replaces the servers to check. What is known of those that stay, stays.
func (c *checker) assign(m protocol.Checks) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.targets
	c.targets = map[string]*target{}
	for _, number := range m.Servers {
		s := c.view.server(number)
		if s == nil {
			continue
		}
		t := before[s.ID]
		if t == nil {
			t = &target{next: time.Since(c.begun)}
		}
		t.number, t.told = number, 0
		c.targets[s.ID] = t
	}
}

// run checks until ctx ends.
func (c *checker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.planned:
		}
		timer.Reset(c.startDue(ctx, time.Since(c.begun)))
	}
}

// startDue starts the checks that are due and returns the time until the next.
func (c *checker) startDue(ctx context.Context, now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := idleWait
	for _, t := range c.targets {
		if t.busy {
			continue
		}
		if t.next > now {
			wait = min(wait, t.next-now)
			continue
		}
		s := c.view.server(t.number)
		if s == nil {
			t.next = now + plainPeriod
			continue
		}
		t.busy = true
		go c.check(ctx, t, s)
	}
	return wait
}

// check checks one server.
func (c *checker) check(ctx context.Context, t *target, s *server) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	asked := time.Since(c.begun)
	sample := broker.Sample{Server: s.Number, ColdMillis: -1, Running: -1}
	a, err := c.exchange(ctx, s)
	sample.Healthy = a.status == http.StatusOK
	sample.WrongServer = a.status == http.StatusMisdirectedRequest || (a.report.ServerID != "" && a.report.ServerID != s.ID)
	sample.Pace = a.report.Pace
	if a.report.Slots > 0 {
		sample.Running = a.report.Running + a.report.Waiting
	}
	if err == nil && a.report.Cold >= 0 {
		sample.ColdMillis = int(a.report.Cold.Milliseconds())
		c.view.noteCold(s, a.report.Cold, time.Now())
	}
	c.finish(t, sample, asked, time.Since(c.begun))
}

// look asks for the pace of a server's machine, in percent of the usual; 0 if it
// does not tell.
func (c *checker) look(ctx context.Context, s *server) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, paceLookLimit)
	defer cancel()
	a, err := c.exchange(ctx, s)
	return a.report.Pace, err
}

// checkAnswer is a server's answer to a health check; status is 0 for none.
type checkAnswer struct {
	status int
	report backend.Report
}

// exchange asks a server for its health.
func (c *checker) exchange(ctx context.Context, s *server) (checkAnswer, error) {
	path := "/health"
	if index := c.view.configuration(); index != nil && index.Service(s.Service) != nil {
		path = index.Service(s.Service).HealthPath
	}
	res, err := c.exchanger.Exchange(ctx, s.target, &backend.Attempt{ //nolint:bodyclose // readAll closes it
		Method: http.MethodGet, Target: path, Host: s.Address, Header: http.Header{},
		ExpectServer: s.ID, Deadline: time.Now().Add(checkTimeout),
	})
	var refused *backend.RefusedError
	switch {
	case err == nil:
		a := checkAnswer{res.StatusCode, c.dialect.Report(res.Header)}
		_, err = readAll(res)
		return a, err
	case errors.As(err, &refused):
		return checkAnswer{refused.Status, refused.Report}, err
	default:
		return checkAnswer{}, err
	}
}

// finish notes a check's result, tells the broker if it is news, and plans the
// next check.
func (c *checker) finish(t *target, sample broker.Sample, asked, answered time.Duration) {
	c.mu.Lock()
	t.busy = false
	t.next = answered + plainPeriod
	if sample.Pace > 0 {
		t.learner.Observe(asked, answered, sample.Pace)
		t.next = max(t.learner.NextSample(answered), asked+c.shortest)
		sample.PaceValidMillis = int(t.learner.ValidFor(answered).Milliseconds())
	}
	retell := retellAfter
	if sample.Pace > 0 {
		retell = broker.PaceRepeatInterval
	}
	news := t.told == 0 || sample.PaceValidMillis > 0 || answered-t.told > retell || worthTelling(t.sample, sample)
	if news {
		t.sample, t.told = sample, answered
	}
	c.mu.Unlock()
	select {
	case c.planned <- struct{}{}:
	default:
	}
	if news {
		c.report([]broker.Sample{sample})
	}
}

// worthTelling reports whether a sample says something new.
func worthTelling(before, now broker.Sample) bool {
	change := now.Pace - before.Pace
	return before.Healthy != now.Healthy || now.WrongServer ||
		change > paceStep || change < -paceStep ||
		(before.ColdMillis > 0) != (now.ColdMillis > 0)
}
