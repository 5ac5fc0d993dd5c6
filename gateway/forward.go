package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// The bounds of forwarding.
const (
	// maxAnswer bounds an answer, which is held whole before it goes out so that
	// a cut one can be retried or reported.
	maxAnswer = 32 << 20
	// leastTry is the least time left that is worth another try.
	leastTry = 30 * time.Millisecond
	// askWaitShare and askLateShare are the longest waits in the broker's queue,
	// as parts of the latency objective and of the deadline.
	askWaitShare = 0.3
	askLateShare = 0.05
)

// answered is a whole answer, or what is known beside a failure.
type answered struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// try is one attempt on one backend server.
type try struct {
	server *server
	// grant is the broker's; 0 if the entry decided alone.
	grant uint64
}

// forward sends a request to backend servers until one gives a whole answer or
// no further try is allowed.
func (g *Gateway) forward(ctx context.Context, k *call) (answered, error) {
	k.fingerprint = fingerprint(k)
	var avoid []uint32
	var h history
	for {
		t, refusal, err := g.place(ctx, k, avoid)
		if err != nil || t == nil {
			return h.conclude(ctx, refusal, err)
		}
		avoid = append(avoid, t.server.Number)
		a, err := g.try(ctx, k, t)
		if err == nil && a.status < http.StatusInternalServerError {
			return a, nil
		}
		h.note(a, err)
		if !g.mayRetry(ctx, k, h.mayHaveRun(), len(avoid)) {
			return h.conclude(ctx, nil, nil)
		}
	}
}

// history is what came of the tries of a request so far.
type history struct {
	// failed is the last failure that a server answered; status 0 for none.
	failed answered
	// unknown is the last error of a try that may have run, and refused that of
	// one that did not.
	unknown, refused error
}

// note takes in a try without a good answer.
func (h *history) note(a answered, err error) {
	switch {
	case err == nil:
		h.failed = a
	case verdict.Of(err) == verdict.NotRun:
		h.refused = err
	default:
		h.unknown = err
	}
}

// mayHaveRun reports whether any try may have run.
func (h *history) mayHaveRun() bool { return h.failed.status != 0 || h.unknown != nil }

// mayRetry reports whether a request may be sent to another server.
func (g *Gateway) mayRetry(ctx context.Context, k *call, mayHaveRun bool, sent int) bool {
	if ctx.Err() != nil || time.Until(k.deadline) < leastTry || sent >= k.route.MaxAttempts+refusedExtra {
		return false
	}
	if mayHaveRun && k.route.Kind != route.Idempotent {
		return false
	}
	return k.ran < k.route.MaxAttempts
}

// refusedExtra bounds the tries beyond a route's attempts on servers that
// provably did not run the request.
const refusedExtra = 2

// conclude ends a request: with a server's own failure if there is one, else with
// what is known of a try that may have run, and only then with a refusal.
func (h *history) conclude(ctx context.Context, refusal *broker.Refusal, err error) (answered, error) {
	switch {
	case h.failed.status != 0:
		return h.failed, nil
	case h.unknown != nil:
		return answered{}, h.unknown
	case refusal != nil:
		return answered{retryAfter: time.Duration(refusal.RetryMillis) * time.Millisecond},
			verdict.New(verdict.NotRun, http.StatusServiceUnavailable, string(refusal.Reason),
				"the broker refused: %d waiting, %d of %d slots in use", refusal.Waiting, refusal.Busy, refusal.Slots)
	case ctx.Err() != nil:
		return answered{retryAfter: noConfigurationRetry},
			verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusServiceUnavailable, backend.CodeDeadline, "no slot in time")
	case h.refused != nil:
		return answered{retryAfter: noConfigurationRetry}, h.refused
	default:
		return answered{retryAfter: noConfigurationRetry},
			verdict.Wrap(errors.CombineErrors(err, errNoBroker), verdict.NotRun, http.StatusServiceUnavailable,
				"no_backend_server", "no server may be used without a broker")
	}
}

// place finds a server for the next try. No try and no error mean a refusal.
func (g *Gateway) place(ctx context.Context, k *call, avoid []uint32) (*try, *broker.Refusal, error) {
	now := time.Now()
	objective := k.route.LatencyObjective - now.Sub(k.arrived)
	left := time.Until(k.deadline)
	a := broker.Ask{
		Service: k.service, Priority: k.route.Priority,
		ObjectiveMillis: int(objective.Milliseconds()), DeadlineMillis: int(left.Milliseconds()),
		BodyBytes: len(k.body), SendMillis: g.sendMillis(len(k.body)), Retry: k.reached > 0, ExcludedServers: avoid, HomeRegions: k.route.HomeRegions,
		Fingerprint: k.fingerprint,
	}
	longest := time.Duration(max(askWaitShare*float64(objective), askLateShare*float64(left)))
	r, err := g.session.ask(ctx, a, longest)
	k.waited += time.Since(now)
	k.refusal = r.refusal
	switch {
	case err == nil && r.refusal != nil:
		return nil, r.refusal, nil
	case err == nil:
		s := g.view.server(r.grant.Server)
		if s == nil {
			g.session.release(broker.Release{ID: r.grant.ID, Outcome: broker.Unused})
			return nil, nil, errors.Newf("granted server %d is unknown", r.grant.Server)
		}
		g.view.begin(s)
		return &try{server: s, grant: r.grant.ID}, nil, nil
	case !errors.Is(err, errNoBroker):
		return nil, nil, err
	case k.reached > 0:
		return nil, nil, errors.New("retries need a broker")
	}
	s := g.view.chooseAlone(k.service, k.route, g.options.Settings.Host.AvailabilityZone, avoid, now)
	if s == nil {
		return nil, nil, err
	}
	g.alone.Inc()
	return &try{server: s}, nil, nil
}

// sendMillis returns how long the host's link takes to send a body.
func (g *Gateway) sendMillis(bytes int) int {
	link := g.options.Settings.LinkBytesPerSecond
	if link == 0 {
		return 0
	}
	return int(int64(bytes) * 1000 / link)
}

// try sends the request to one server and reads its whole answer.
func (g *Gateway) try(ctx context.Context, k *call, t *try) (answered, error) {
	started := time.Now()
	k.server = t.server.ID
	res, err := g.exchanger.Exchange(ctx, t.server.target, &backend.Attempt{ //nolint:bodyclose // readAll closes it
		Method: k.request.Method, Target: k.request.RequestURI, Host: k.request.Host,
		Header: k.request.Header, Held: k.body, BeforeEnd: g.beforeEnd(ctx, k, t), RequestID: k.id, Deadline: k.deadline,
		ExpectServer: t.server.ID,
	})
	a := answered{}
	var report backend.Report
	if err == nil {
		report = g.options.Dialect.Report(res.Header)
		a, err = readAnswer(ctx, res, t)
	}
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		report = refused.Report
	}
	k.count(err)
	g.settle(ctx, k, t, report, a, err, time.Since(started))
	return a, err
}

// count counts a try by how it went. A refusal arrived at the server and did
// not run there; without a connection nothing arrived.
func (k *call) count(err error) {
	if err == nil || verdict.Of(err) != verdict.NotRun {
		k.reached++
		k.ran++
		return
	}
	if verdict.As(err).Code != backend.CodeDialFailed {
		k.reached++
	}
}

// readAnswer reads an answer to its end.
func readAnswer(ctx context.Context, res *http.Response, t *try) (answered, error) {
	body, err := readAll(res)
	if err != nil {
		return answered{}, backend.AnswerCut(ctx, err, t.server.target)
	}
	if res.Header.Get("Content-Encoding") != "" {
		return answered{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, backend.CodeAnswerCut,
			"the answer of %s is encoded, which nobody asked for", t.server.Address)
	}
	backend.RemoveHopByHop(res.Header)
	delete(res.Header, "Content-Length")
	return answered{status: res.StatusCode, header: res.Header, body: body}, nil
}

// readAll reads a body to its end and closes it.
func readAll(res *http.Response) ([]byte, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Newf("answer has more than %d bytes", maxAnswer)
	}
	return body, err
}

// settle tells the broker how a try went.
func (g *Gateway) settle(ctx context.Context, k *call, t *try, report backend.Report, a answered, err error, took time.Duration) {
	outcome := outcomeOf(ctx, a, err)
	bad := outcome != broker.Answered && outcome != broker.Abandoned
	g.view.end(t.server, bad, time.Now())
	g.noteTry(k, t, outcome, err, took)
	if t.grant == 0 {
		return
	}
	r := broker.Release{ID: t.grant, Outcome: outcome, ElapsedMillis: int(took.Milliseconds()), Pace: report.Pace, AnswerBytes: len(a.body)}
	if outcome == broker.Answered {
		r.KeepAliveMillis = int(report.KeepAlive.Milliseconds())
	}
	g.session.release(r)
}

// outcomeOf says how a try went.
func outcomeOf(ctx context.Context, a answered, err error) broker.Outcome {
	if err == nil {
		if a.status >= http.StatusInternalServerError {
			return broker.Failed
		}
		return broker.Answered
	}
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		if refused.Status == http.StatusMisdirectedRequest {
			return broker.WrongServer
		}
		return broker.Refused
	}
	switch verdict.As(err).Code {
	case backend.CodeDialFailed:
		return broker.Unreachable
	case backend.CodeConnectionLost, backend.CodeExchangeFailed, backend.CodeAnswerCut:
		return broker.ConnectionLost
	}
	if ctx.Err() != nil {
		return broker.Abandoned
	}
	return broker.Failed
}

// fingerprint identifies equal requests on all entries: the same route, target
// and body.
func fingerprint(k *call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(k.request.Method)
	_, _ = h.WriteString(k.request.Host)
	_, _ = h.WriteString(k.request.RequestURI)
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(k.body)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(k.body)
	return h.Sum64()
}
