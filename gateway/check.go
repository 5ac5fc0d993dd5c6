package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
	"tanagerbarrow/rhythm"
	"tanagerbarrow/verdict"
)

// The constants of health checks.
const (
	// checkTimeout bounds one health check.
	checkTimeout = 500 * time.Millisecond
	// maxHealthBytes bounds the body of a health check, in bytes.
	maxHealthBytes = 64 << 10
	// minPaceChange is the change of a pace above which it is reported, in percent
	// of the usual pace.
	minPaceChange = 20
	// defaultCheckInterval is the time between checks of servers that report no
	// pace or don't respond.
	defaultCheckInterval = time.Second
	// repeatInterval is the time after which an unchanged sample is reported again,
	// as evidence for the broker that the server is alive.
	repeatInterval = 2 * time.Second
	// maxCheckerSleep bounds the checker's sleep, after which it starts to check
	// servers that were assigned in the meantime.
	maxCheckerSleep = 200 * time.Millisecond
)

// checker runs the health checks that the broker assigns to this entry. It samples
// each server's pace in the rhythm in which it changes.
type checker struct {
	view          *view
	exchanger     *backend.Exchanger
	dialect       backend.Dialect
	reportSamples func([]broker.Sample)
	// recordLimit is called with what the response to a check says about the server's
	// request limit.
	recordLimit func(*server, *broker.LimitReport, broker.LimitSource, time.Time)
	// onSend is called before a check is sent to a server, and onResponse with the status
	// and the report of the response.
	onSend     func(*server)
	onResponse func(*server, int, backend.Report)
	// path records responses and silent servers.
	path    *pathMonitor
	started time.Time
	// minInterval is the least time between two checks of one server that the
	// deployment allows.
	minInterval time.Duration

	// rescheduled wakes run after the next check of a server was scheduled.
	rescheduled chan struct{}

	mu      sync.Mutex
	targets map[string]*checkTarget
}

// checkTarget is the state of a server that is checked. Its times are measured
// from the checker's start.
type checkTarget struct {
	number  uint32
	learner rhythm.Learner
	// nextCheck is when the next check is due.
	nextCheck    time.Duration
	inProgress   bool
	lastSample   broker.Sample
	lastReported time.Duration
}

// newChecker returns a checker without servers to check. checksPerSecond bounds
// the checks of one server; 0 means no bound.
func newChecker(v *view, d backend.Dialect, checksPerSecond float64, reportSamples func([]broker.Sample)) *checker {
	c := &checker{
		view: v, exchanger: backend.NewExchangerWithDialect(d), dialect: d, reportSamples: reportSamples,
		started: time.Now(), targets: map[string]*checkTarget{}, rescheduled: make(chan struct{}, 1),
	}
	if checksPerSecond > 0 {
		c.minInterval = time.Duration(float64(time.Second) / checksPerSecond)
	}
	return c
}

// assign replaces the servers to check. Servers that were checked before keep
// their state.
func (c *checker) assign(m protocol.CheckAssignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.targets
	c.targets = map[string]*checkTarget{}
	for _, number := range m.Servers {
		s := c.view.server(number)
		if s == nil {
			continue
		}
		t := previous[s.ID]
		if t == nil {
			t = &checkTarget{nextCheck: time.Since(c.started)}
		}
		t.number, t.lastReported = number, 0
		c.targets[s.ID] = t
	}
}

// run checks the assigned servers until ctx ends.
func (c *checker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.rescheduled:
		}
		timer.Reset(c.startDueChecks(ctx, time.Since(c.started)))
	}
}

// startDueChecks starts the checks that are due and returns the time until the
// next one, at most maxCheckerSleep.
func (c *checker) startDueChecks(ctx context.Context, now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := maxCheckerSleep
	for _, t := range c.targets {
		if t.inProgress {
			continue
		}
		if t.nextCheck > now {
			wait = min(wait, t.nextCheck-now)
			continue
		}
		s := c.view.server(t.number)
		if s == nil {
			t.nextCheck = now + defaultCheckInterval
			continue
		}
		if wait := c.view.checkBackoff(s, time.Now()); wait > 0 {
			// The server may restart before its backoff ends.
			t.nextCheck = now + min(wait, defaultCheckInterval)
			continue
		}
		t.inProgress = true
		go c.check(ctx, t, s)
	}
	return wait
}

// check checks one server.
func (c *checker) check(ctx context.Context, t *checkTarget, s *server) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	sentAt := time.Since(c.started)
	endWatch := c.path.watchCheck(s)
	defer endWatch()
	sample := broker.Sample{Server: s.Number, ColdMillis: -1, Running: -1}
	res, err := c.requestHealth(ctx, c.exchanger, s, false)
	if errors.Is(err, errCheckBackoff) {
		c.postpone(t)
		return
	}
	c.observePath(s, res, err)
	sample.Healthy, sample.Responded = res.status == http.StatusOK, res.status != 0
	sample.WrongServer = res.status == http.StatusMisdirectedRequest || (res.report.ServerID != "" && res.report.ServerID != s.ID)
	sample.Pace = res.report.Pace
	if res.report.Slots > 0 {
		sample.Running = res.report.Running + res.report.Waiting
	}
	if err == nil && res.report.Cold >= 0 {
		sample.ColdMillis = int(res.report.Cold.Milliseconds())
		c.view.setCold(s, res.report.Cold, time.Now())
	}
	sample.Limit = c.view.limitReport(s, res.report, broker.LimitFromChecks, err == nil && sample.Healthy)
	c.recordLimit(s, sample.Limit, broker.LimitFromChecks, time.Now())
	c.finishCheck(t, sample, c.view.limitOf(s), sentAt, time.Since(c.started))
}

// readPace requests the pace of a server's machine, in percent of the usual; 0 if
// the server does not report it.
func (c *checker) readPace(ctx context.Context, s *server) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, paceCheckTimeout)
	defer cancel()
	res, err := c.requestHealth(ctx, c.exchanger, s, false)
	return res.report.Pace, err
}

// probe returns an error if a server does not respond to a health check on a new
// connection.
func (c *checker) probe(ctx context.Context, s *server) error {
	res, err := c.requestHealth(ctx, c.exchanger, s, true)
	if res.status != 0 {
		return nil
	}
	return err
}

// checkPath checks a server for the path's sake alone, over a connection of the exchanger.
func (c *checker) checkPath(ctx context.Context, x *backend.Exchanger, s *server) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	endWatch := c.path.watchCheck(s)
	defer endWatch()
	res, err := c.requestHealth(ctx, x, s, false)
	c.observePath(s, res, err)
}

// observePath tells the path of the outcome of a check.
func (c *checker) observePath(s *server, res checkResponse, err error) {
	switch {
	case res.status != 0:
		c.path.responded()
	case verdict.As(err).Code == backend.CodeConnectionLost:
		c.path.failed(s, false)
	case verdict.As(err).Code == backend.CodeDialFailed, verdict.As(err).Code == backend.CodeExchangeFailed:
		c.path.failed(s, true)
	}
}

// checkResponse is a server's response to a health check; status is 0 if there
// was none.
type checkResponse struct {
	status int
	report backend.Report
}

// requestHealth sends a health check to a server over a connection of the exchanger, a
// new one if newConnection is set. A server that refuses the request yields both a
// response and an error.
func (c *checker) requestHealth(ctx context.Context, x *backend.Exchanger, s *server, newConnection bool) (checkResponse, error) {
	if c.view.checkBackoff(s, time.Now()) > 0 {
		return checkResponse{}, errCheckBackoff
	}
	path := "/health"
	if index := c.view.configuration(); index != nil && index.Service(s.Service) != nil {
		path = index.Service(s.Service).HealthPath
	}
	c.onSend(s)
	httpResponse, err := x.Exchange(ctx, s.endpoint, &backend.Attempt{ //nolint:bodyclose // discardBody closes it
		Method: http.MethodGet, Target: path, Host: s.Address, Header: http.Header{},
		ExpectServer: s.ID, Deadline: time.Now().Add(checkTimeout), NewConnection: newConnection,
	})
	var refused *backend.RefusedError
	switch {
	case err == nil:
		res := checkResponse{httpResponse.StatusCode, c.dialect.Report(httpResponse.Header)}
		c.onResponse(s, res.status, res.report)
		return res, discardBody(httpResponse)
	case errors.As(err, &refused):
		c.onResponse(s, refused.Status, refused.Report)
		return checkResponse{refused.Status, refused.Report}, err
	default:
		return checkResponse{}, err
	}
}

// discardBody reads the body of a health check to its end and closes it. A body
// over maxHealthBytes is an error.
func discardBody(res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBytes+1))
	if err == nil && n > maxHealthBytes {
		err = errors.Newf("the health response has more than %d bytes", maxHealthBytes)
	}
	return err
}

// postpone schedules the next check of a server that was not checked.
func (c *checker) postpone(t *checkTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.inProgress, t.nextCheck = false, time.Since(c.started)+defaultCheckInterval
}

// finishCheck records a check's result, schedules the next check and reports the
// sample to the broker if it changed or the last report is too old.
func (c *checker) finishCheck(t *checkTarget, sample broker.Sample, limit broker.RequestLimit, sentAt, receivedAt time.Duration) {
	c.mu.Lock()
	t.inProgress = false
	t.nextCheck = receivedAt + defaultCheckInterval
	if sample.Pace > 0 {
		t.learner.Observe(sentAt, receivedAt, sample.Pace)
		t.nextCheck = max(t.learner.NextSample(receivedAt), sentAt+c.minInterval)
		sample.PaceValidMillis = int(t.learner.ValidFor(receivedAt).Milliseconds())
	}
	if limit.Limited() {
		t.nextCheck = max(t.nextCheck, sentAt+limitedCheckInterval(limit))
	}
	repeatAfter := repeatInterval
	if sample.Pace > 0 {
		repeatAfter = broker.PaceRepeatInterval
	}
	shouldReport := t.lastReported == 0 || sample.PaceValidMillis > 0 || receivedAt-t.lastReported > repeatAfter || worthReporting(t.lastSample, sample)
	if shouldReport {
		t.lastSample, t.lastReported = sample, receivedAt
	}
	c.mu.Unlock()
	select {
	case c.rescheduled <- struct{}{}:
	default:
	}
	if shouldReport {
		c.reportSamples([]broker.Sample{sample})
	}
}

// worthReporting reports whether a sample differs from the previous one enough
// to be reported. A response of another server is always reported.
func worthReporting(previous, current broker.Sample) bool {
	change := current.Pace - previous.Pace
	return current.Limit != nil || previous.Healthy != current.Healthy || current.WrongServer ||
		change > minPaceChange || change < -minPaceChange ||
		(previous.ColdMillis > 0) != (current.ColdMillis > 0)
}
