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

// matrixTimeout is the deadline of requests whose fault is silence.
const matrixTimeout = 60 * time.Millisecond

// matrixParallel is how many cells run at once; most of them wait.
const matrixParallel = "24"

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", matrixParallel)
	os.Exit(m.Run())
}

// memoryClaims is a ledger without replication.
type memoryClaims struct{ machine *ledger.Machine }

func (m memoryClaims) Apply(_ context.Context, _ []string, c ledger.Command) (ledger.Result, error) {
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

// outcomes notes the verdict of every dispatched request, also of one whose
// caller is gone.
type outcomes struct {
	Dispatcher

	mu    sync.Mutex
	last  error
	began chan struct{} // capacity 1
	ended chan struct{}
	once  sync.Once
}

func (o *outcomes) Dispatch(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	if h.URL.Path != warmPath {
		select {
		case o.began <- struct{}{}:
		default:
		}
	}
	res, err := o.Dispatcher.Dispatch(ctx, r, h)
	if h.URL.Path != warmPath {
		o.mu.Lock()
		o.last = err
		o.mu.Unlock()
		o.once.Do(func() { close(o.ended) })
	}
	return res, err
}

// testEntry is a front with its dispatcher over real connections.
type testEntry struct {
	*httptest.Server

	outcomes  *outcomes
	exchanger *backend.Exchanger
	ticked    chan struct{}
}

// stop ends the entry and closes its connections to backend servers.
func (e *testEntry) stop() {
	e.Close()
	e.exchanger.Close()
	close(e.ticked)
}

// tick moves the admission of backend servers on, as an entry does.
func (e *testEntry) tick(b *dispatch.Balancer) {
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-e.ticked:
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
	loads := balance.NewLoads(balance.Options{Self: "e", Live: func() []string { return []string{"e"} }}, time.Now())
	o := &outcomes{began: make(chan struct{}, 1), ended: make(chan struct{}), Dispatcher: &dispatch.Dispatcher{
		Exchanger: exchanger, Ledger: memoryClaims{ledger.NewMachine()}, Retries: limit.NewRetryBudget(),
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
	e := &testEntry{Server: httptest.NewUnstartedServer(routes), outcomes: o, exchanger: exchanger, ticked: make(chan struct{})}
	go e.tick(o.Dispatcher.(*dispatch.Dispatcher).Balancer.(*dispatch.Balancer))
	e.Config.ErrorLog = log.New(io.Discard, "", 0)
	e.Start()
	return e
}

// kind is a kind of request.
type kind struct {
	name   string
	method string
	key    bool
	body   string
	chunks bool
}

var kinds = []kind{
	{name: "read", method: http.MethodGet},
	{name: "read with key", method: http.MethodGet, key: true},
	{name: "head", method: http.MethodHead},
	{name: "once", method: http.MethodPost, body: "bronze bell"},
	{name: "once without body", method: http.MethodPost},
	{name: "once in chunks", method: http.MethodPost, body: "bronze bell", chunks: true},
	{name: "order", method: http.MethodPost, key: true, body: "bronze bell"},
	{name: "order without body", method: http.MethodPost, key: true},
}

var faults = []fault{
	healthy, refuseDial, dialTimedOut, resetIdle, resetAtOnce, resetInHeader, resetInBody, resetAfterWrite,
	closeBeforeHeader, closeInHeader, closeInAnswer, resetInAnswer, silentAtOnce, silentInHeader,
	silentAfterWrite, silentInHeaderOut, silentInAnswer, runsLate, answersLate, refusesWithHeader,
	refusesBare, refusesThenCloses, malformedAnswer, duplicateAnswer, switchesProtocols, otherRequestsAnswer,
}

// company is what the faulty backend server's only other one does.
var company = []fault{"", healthy, refuseDial, closeBeforeHeader, refusesWithHeader}

// matrixCase is one cell of the matrix.
type matrixCase struct {
	kind   kind
	fault  fault
	other  fault
	reused bool
	gone   bool
}

func TestVerdictMatrix(t *testing.T) {
	var cases atomic.Int64
	t.Run("cells", func(t *testing.T) {
		for _, k := range kinds {
			for _, f := range faults {
				for _, other := range company {
					for _, reused := range []bool{false, true} {
						for _, gone := range []bool{false, true} {
							c := matrixCase{kind: k, fault: f, other: other, reused: reused, gone: gone}
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

// skipped reports whether the cell means nothing: a dial that times out has no
// reused connection, and a caller leaves only while it waits.
func (c matrixCase) skipped() bool {
	if c.fault == dialTimedOut && (c.reused || c.gone || c.kind.method == http.MethodHead) {
		return true
	}
	return c.gone && !c.waits()
}

// waits reports whether the fault makes the caller wait for its deadline.
func (c matrixCase) waits() bool {
	return strings.HasPrefix(string(c.fault), "silent") || c.fault == runsLate || c.fault == answersLate
}

// check runs the cell.
func (c matrixCase) check(t *testing.T) {
	s := startStandIn(t)
	servers := []netip.AddrPort{s.address}
	if c.fault == dialTimedOut {
		servers[0] = dialTimeoutStandIn(t)
	}
	all := []*standIn{s}
	if c.other != "" {
		other := startStandIn(t)
		all = append(all, other)
		servers = append(servers, other.address)
	}
	e := startEntry(servers...)
	if c.reused {
		for range 4 * len(servers) {
			warm(t, e)
		}
	}
	if c.fault != dialTimedOut {
		s.arm(c.fault)
	}
	if c.other != "" {
		all[1].arm(c.other)
	}
	got, err := c.send(e)
	if c.gone {
		<-e.outcomes.ended
	}
	for _, one := range all {
		one.release()
	}
	e.stop()
	runs, began := 0, 0
	for _, one := range all {
		one.settle()
		runs += one.runs["token"]
		began += one.began
	}
	c.judge(t, got, err, e.outcomes.last, runs, began)
}

// warm gets a kept-alive connection to a backend server.
func warm(t *testing.T, e *testEntry) {
	t.Helper()
	res, err := http.Get(e.URL + warmPath)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// reply is what the caller saw.
type reply struct {
	status  int
	verdict string
	token   string
	body    string
}

// send sends the cell's request and reads the answer.
func (c matrixCase) send(e *testEntry) (reply, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var body io.Reader
	if c.kind.body != "" {
		body = strings.NewReader(c.kind.body)
	}
	if c.kind.chunks {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, c.kind.method, e.URL+"/s/x", body)
	if err != nil {
		return reply{}, err
	}
	r.Header.Set(tokenHeader, "token")
	if c.kind.key {
		r.Header.Set(request.KeyHeader, "key")
	}
	if c.waits() && !c.gone {
		r.Header.Set(request.TimeoutHeader, fmt.Sprint(matrixTimeout.Milliseconds()))
	}
	if c.gone {
		go func() {
			<-e.outcomes.began
			time.Sleep(matrixTimeout)
			cancel()
		}()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode, verdict: res.Header.Get(verdict.Header),
		token: res.Header.Get(tokenHeader), body: string(text),
	}, err
}

// judge holds what the caller was told against what ran.
func (c matrixCase) judge(t *testing.T, got reply, err, dispatched error, runs, began int) {
	told := got.verdict
	if c.gone && dispatched != nil {
		told = verdict.Of(dispatched).String()
	} else if err != nil && !c.gone {
		t.Fatalf("the caller got no answer: %v", err)
	}
	idempotent := c.kind.method != http.MethodPost
	refused := c.fault == refusesWithHeader || c.fault == refusesThenCloses || c.other == refusesWithHeader
	switch {
	case told == verdict.NotRun.String() && runs > 0:
		t.Errorf("NotRun on a request that ran %d times", runs)
	case told == verdict.NotRun.String() && began > 0 && !refused:
		t.Errorf("NotRun without proof: %d backend servers got a part of the request", began)
	case !idempotent && runs > 1:
		t.Errorf("a request that is not idempotent ran %d times", runs)
	case told == verdict.Ran.String() && runs == 0:
		t.Error("Ran on a request that ran nowhere")
	case told != verdict.NotRun.String() && began == 0 && runs == 0 && !c.waits() && c.fault != resetAtOnce:
		t.Errorf("verdict %q on a request of which no byte left", told)
	}
	if got.status == http.StatusOK && (got.token != "token" || c.kind.method != http.MethodHead && got.body != wholeBody) {
		t.Errorf("a shortened or foreign answer looks whole: %+v", got)
	}
	if got.status >= http.StatusBadRequest && c.kind.method != http.MethodHead && told != verdict.Ran.String() {
		var failure Failure
		if err := json.Unmarshal([]byte(got.body), &failure); err != nil || failure.Verdict != got.verdict {
			t.Errorf("error body %q does not carry the verdict %q", got.body, got.verdict)
		}
	}
	if c.fault == healthy && c.other == "" && got.status != http.StatusOK {
		t.Errorf("a healthy backend server: %+v", got)
	}
}
