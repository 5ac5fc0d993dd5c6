package caller

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/backend"
	"tanagerbarrow/balance"
	"tanagerbarrow/dispatch"
	"tanagerbarrow/ledger"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// matrixTimeout is the timeout of requests whose fault delays the response, and
// the time after which a caller disconnects.
const matrixTimeout = 60 * time.Millisecond

// matrixParallelCells is how many cells run in parallel; most of them wait.
const matrixParallelCells = "24"

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", matrixParallelCells)
	os.Exit(m.Run())
}

// memoryLedger is a ledger without replication.
type memoryLedger struct{ machine *ledger.Machine }

func (m memoryLedger) Apply(_ context.Context, _ []string, c ledger.Command) (ledger.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return ledger.Result{}, err
	}
	encoded, err := m.machine.Apply(data)
	if err != nil {
		return ledger.Result{}, err
	}
	var r ledger.Result
	return r, json.Unmarshal(encoded, &r)
}

// outcomeRecorder records the error of the last dispatched request, even if its
// caller has disconnected.
type outcomeRecorder struct {
	Dispatcher

	mu      sync.Mutex
	lastErr error
	began   chan struct{} // capacity 1
	ended   chan struct{}
	endOnce sync.Once
}

func (o *outcomeRecorder) Dispatch(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	if h.URL.Path != warmPath {
		select {
		case o.began <- struct{}{}:
		default:
		}
	}
	res, err := o.Dispatcher.Dispatch(ctx, r, h)
	if h.URL.Path != warmPath {
		o.mu.Lock()
		o.lastErr = err
		o.mu.Unlock()
		o.endOnce.Do(func() { close(o.ended) })
	}
	return res, err
}

// testEntry is a front end with its dispatcher over real connections.
type testEntry struct {
	*httptest.Server

	outcomes  *outcomeRecorder
	exchanger *backend.Exchanger
	stopTicks chan struct{}
}

// stop ends the entry and closes its connections to backend servers.
func (e *testEntry) stop() {
	e.Close()
	e.exchanger.Close()
	close(e.stopTicks)
}

// tick updates the loads of backend servers periodically, as an entry does.
func (e *testEntry) tick(b *dispatch.Balancer) {
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-e.stopTicks:
			return
		case now := <-ticks.C:
			b.Loads.Tick(now)
			b.WakeAll()
		}
	}
}

// tickPeriod is the time between ticks.
const tickPeriod = 5 * time.Millisecond

func startEntry(servers ...netip.AddrPort) *testEntry {
	config := state.NewConfiguration()
	config.Services["s"] = state.Service{Name: "s"}
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	for _, address := range servers {
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: address, AvailabilityZone: "a", Slots: 64, Generation: 1, State: membership.Ready,
		})
	}
	current := func() *state.Configuration { return config }
	exchanger := backend.NewExchanger()
	// On a busy machine a process may not run for longer than the usual timeout, and
	// these tests need their connections.
	exchanger.SetDialTimeout(3 * time.Second)
	loads := balance.NewLoads(balance.Options{Self: "e", Live: func() []string { return []string{"e"} }}, time.Now())
	o := &outcomeRecorder{began: make(chan struct{}, 1), ended: make(chan struct{}), Dispatcher: &dispatch.Dispatcher{
		Exchanger: exchanger, Ledger: memoryLedger{ledger.NewMachine()}, Retries: limit.NewRetryBudget(),
		Balancer: &dispatch.Balancer{
			Members: func() *membership.View { return view }, Configuration: current,
			Place: balance.Place{AvailabilityZone: "a", Regions: map[string]string{"a": "north"}},
			Loads: loads,
		},
	}}
	front := &Frontend{
		Configuration: current, Dispatcher: o, Region: "north",
		HomeEntries:    func([]string) []string { return nil },
		RequestTimeout: 10 * time.Second, MaxBodyBytes: 1 << 20,
		Log: zerolog.Nop(), Metrics: telemetry.NewMetrics(),
	}
	routes := echo.New()
	front.Register(routes)
	e := &testEntry{Server: httptest.NewUnstartedServer(routes), outcomes: o, exchanger: exchanger, stopTicks: make(chan struct{})}
	go e.tick(o.Dispatcher.(*dispatch.Dispatcher).Balancer.(*dispatch.Balancer))
	e.Config.ErrorLog = log.New(io.Discard, "", 0)
	e.Start()
	return e
}

// requestKind is one kind of request in the matrix.
type requestKind struct {
	name    string
	method  string
	hasKey  bool
	body    string
	chunked bool
}

var requestKinds = []requestKind{
	{name: "read", method: http.MethodGet},
	{name: "read with key", method: http.MethodGet, hasKey: true},
	{name: "head", method: http.MethodHead},
	{name: "once", method: http.MethodPost, body: "bronze bell"},
	{name: "once without body", method: http.MethodPost},
	{name: "once in chunks", method: http.MethodPost, body: "bronze bell", chunked: true},
	{name: "order", method: http.MethodPost, hasKey: true, body: "bronze bell"},
	{name: "order without body", method: http.MethodPost, hasKey: true},
}

var faults = []fault{
	healthy, refuseDial, dialTimedOut, resetIdle, resetAtOnce, resetInHeader, resetInBody, resetAfterWrite,
	closeBeforeHeader, closeInHeader, closeInResponse, resetInResponse, silentAtOnce, silentInHeader,
	silentAfterWrite, silentInHeaderOut, silentInResponse, runsLate, respondsLate, refusesWithHeader,
	refusesBare, refusesThenCloses, malformedResponse, duplicateResponse, switchesProtocols, otherRequestsResponse,
}

// otherFaults are the faults of the second backend server; "" is for none.
var otherFaults = []fault{"", healthy, refuseDial, closeBeforeHeader, refusesWithHeader}

// matrixCase is one cell of the matrix: a kind of request, the faults of the two
// backend servers, whether connections are reused, and whether the caller
// disconnects.
type matrixCase struct {
	kind             requestKind
	fault            fault
	otherFault       fault
	reusedConnection bool
	callerGone       bool
}

func TestVerdictMatrix(t *testing.T) {
	var cases atomic.Int64
	t.Run("cells", func(t *testing.T) {
		for _, k := range requestKinds {
			for _, f := range faults {
				for _, other := range otherFaults {
					for _, reused := range []bool{false, true} {
						for _, gone := range []bool{false, true} {
							c := matrixCase{kind: k, fault: f, otherFault: other, reusedConnection: reused, callerGone: gone}
							if c.skipped() {
								continue
							}
							cases.Add(1)
							name := fmt.Sprintf("%s/%s/%s/reused=%v/gone=%v", k.name, f, other, reused, gone)
							t.Run(name, func(t *testing.T) {
								t.Parallel()
								c.check(t)
							})
						}
					}
				}
			}
		}
	})
	t.Logf("%d cases", cases.Load())
}

// skipped reports whether the cell is impossible: a dial that times out has no
// reused connection, and a caller disconnects only while it waits.
func (c matrixCase) skipped() bool {
	if c.fault == dialTimedOut && (c.reusedConnection || c.callerGone || c.kind.method == http.MethodHead) {
		return true
	}
	return c.callerGone && !c.reachesDeadline()
}

// reachesDeadline reports whether the fault delays the response past the
// deadline.
func (c matrixCase) reachesDeadline() bool {
	return strings.HasPrefix(string(c.fault), "silent") || c.fault == runsLate || c.fault == respondsLate
}

// check runs the cell.
func (c matrixCase) check(t *testing.T) {
	s := startStandIn(t)
	servers := []netip.AddrPort{s.address}
	if c.fault == dialTimedOut {
		servers[0] = dialTimeoutStandIn(t)
	}
	all := []*standIn{s}
	if c.otherFault != "" {
		other := startStandIn(t)
		all = append(all, other)
		servers = append(servers, other.address)
	}
	e := startEntry(servers...)
	if c.reusedConnection {
		for range 4 * len(servers) {
			openKeptAlive(t, e)
		}
	}
	if c.fault != dialTimedOut {
		s.setFault(c.fault)
	}
	if c.otherFault != "" {
		all[1].setFault(c.otherFault)
	}
	got, err := c.send(e)
	if c.callerGone {
		<-e.outcomes.ended
	}
	for _, one := range all {
		one.release()
	}
	e.stop()
	runs, arrived := 0, 0
	for _, one := range all {
		one.close()
		runs += one.runs["token"]
		arrived += one.arrived
	}
	c.checkVerdict(t, got, err, e.outcomes.lastErr, runs, arrived)
}

// openKeptAlive makes the entry open a kept-alive connection to a backend server.
func openKeptAlive(t *testing.T, e *testEntry) {
	t.Helper()
	res, err := http.Get(e.URL + warmPath)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// callerResponse is the response that the caller received.
type callerResponse struct {
	status  int
	verdict string
	token   string
	body    string
}

// send sends the cell's request and returns the response.
func (c matrixCase) send(e *testEntry) (callerResponse, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var body io.Reader
	if c.kind.body != "" {
		body = strings.NewReader(c.kind.body)
	}
	if c.kind.chunked {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, c.kind.method, e.URL+"/s/x", body)
	if err != nil {
		return callerResponse{}, err
	}
	r.Header.Set(tokenHeader, "token")
	if c.kind.hasKey {
		r.Header.Set(request.KeyHeader, "key")
	}
	if c.reachesDeadline() && !c.callerGone {
		r.Header.Set(request.TimeoutHeader, fmt.Sprint(matrixTimeout.Milliseconds()))
	}
	if c.callerGone {
		go func() {
			<-e.outcomes.began
			time.Sleep(matrixTimeout)
			cancel()
		}()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return callerResponse{
		status: res.StatusCode, verdict: res.Header.Get(verdict.Header),
		token: res.Header.Get(tokenHeader), body: string(text),
	}, err
}

// checkVerdict compares the verdict that the caller received with what ran.
func (c matrixCase) checkVerdict(t *testing.T, got callerResponse, err, dispatched error, runs, arrived int) {
	reported := got.verdict
	if c.callerGone && dispatched != nil {
		reported = verdict.Of(dispatched).String()
	} else if err != nil && !c.callerGone {
		t.Fatalf("the caller got no response: %v", err)
	}
	idempotent := c.kind.method != http.MethodPost
	refused := c.fault == refusesWithHeader || c.fault == refusesThenCloses || c.otherFault == refusesWithHeader
	switch {
	case reported == verdict.NotRun.String() && runs > 0:
		t.Errorf("NotRun on a request that ran %d times", runs)
	case reported == verdict.NotRun.String() && arrived > 0 && !refused:
		t.Errorf("NotRun without proof: %d backend servers got a part of the request", arrived)
	case !idempotent && runs > 1:
		t.Errorf("a request that is not idempotent ran %d times", runs)
	case reported == verdict.Ran.String() && runs == 0:
		t.Error("Ran on a request that ran nowhere")
	case reported != verdict.NotRun.String() && arrived == 0 && runs == 0 && !c.reachesDeadline() && c.fault != resetAtOnce:
		t.Errorf("verdict %q on a request of which no byte was sent", reported)
	}
	if got.status == http.StatusOK && (got.token != "token" || c.kind.method != http.MethodHead && got.body != completeBody) {
		t.Errorf("a truncated response, or that of another request, looks complete: %+v", got)
	}
	if got.status >= http.StatusBadRequest && c.kind.method != http.MethodHead && reported != verdict.Ran.String() {
		var failure Failure
		if err := json.Unmarshal([]byte(got.body), &failure); err != nil || failure.Verdict != got.verdict {
			t.Errorf("error body %q does not carry the verdict %q", got.body, got.verdict)
		}
	}
	if c.fault == healthy && c.otherFault == "" && got.status != http.StatusOK {
		t.Errorf("a healthy backend server: %+v", got)
	}
}
