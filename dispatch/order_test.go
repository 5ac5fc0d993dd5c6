package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"tanagerbarrow/backend"
	"tanagerbarrow/ledger"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

func init() { _ = flag.Set("rapid.seed", "6") }

// step is a call of one entry to the ledger or to a backend server, which waits
// for its simulated result.
type step struct {
	arrival int
	claim   *ledger.Command // nil for an exchange
	reply   chan stepReply
}

// stepReply is the simulated result of a call.
type stepReply struct {
	result ledger.Result
	res    *http.Response
	err    error
}

// errConnectionLost is the error that an entry receives for a lost call.
var errConnectionLost = errors.New("connection lost")

// simulation simulates arrivals of one order at several entries, one step at a
// time. It draws which entry continues and the result of its call.
type simulation struct {
	t                  *rapid.T
	machine            *ledger.Machine
	events             chan event
	killed             map[int]bool
	delayed            []ledger.Command
	stepsWithoutLeader int // steps until the ledger group has a leader again
	runs               map[int]int
}

// event is a step or, if the step is nil, the final result of an arrival.
type event struct {
	arrival int
	step    *step
	res     *http.Response
	err     error
}

// simulatedEntry is the simulated ledger and exchanger of one arrival's entry.
type simulatedEntry struct {
	sim     *simulation
	arrival int
}

func (e simulatedEntry) Apply(_ context.Context, _ []string, c ledger.Command) (ledger.Result, error) {
	r := e.wait(&step{arrival: e.arrival, claim: &c, reply: make(chan stepReply)})
	return r.result, r.err
}

func (e simulatedEntry) Exchange(context.Context, *membership.BackendServer, *backend.Attempt) (*http.Response, error) {
	r := e.wait(&step{arrival: e.arrival, reply: make(chan stepReply)})
	return r.res, r.err
}

func (e simulatedEntry) wait(s *step) stepReply {
	e.sim.events <- event{arrival: e.arrival, step: s}
	return <-s.reply
}

// apply executes a command on the ledger.
func (sim *simulation) apply(c ledger.Command) ledger.Result {
	data, err := json.Marshal(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	encoded, err := sim.machine.Apply(data)
	if err != nil {
		sim.t.Fatal(err)
	}
	var r ledger.Result
	if err := json.Unmarshal(encoded, &r); err != nil {
		sim.t.Fatal(err)
	}
	return r
}

// ledgerCall draws the result of a ledger command.
func (sim *simulation) ledgerCall(c ledger.Command) stepReply {
	if sim.stepsWithoutLeader > 0 {
		sim.stepsWithoutLeader--
		if rapid.Bool().Draw(sim.t, "delayed at lost leader") {
			sim.delayed = append(sim.delayed, c)
		}
		return stepReply{err: errConnectionLost}
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "answer lost", "twice", "delayed", "delayed copy", "leader lost"}).Draw(sim.t, "ledger") {
	case "lost":
		return stepReply{err: errConnectionLost}
	case "answer lost":
		sim.apply(c)
		return stepReply{err: errConnectionLost}
	case "twice":
		sim.apply(c)
	case "delayed":
		sim.delayed = append(sim.delayed, c)
		return stepReply{err: errConnectionLost}
	case "delayed copy":
		sim.delayed = append(sim.delayed, c)
	case "leader lost":
		sim.stepsWithoutLeader = rapid.IntRange(1, 4).Draw(sim.t, "steps without a leader")
		return stepReply{err: errConnectionLost}
	}
	return stepReply{result: sim.apply(c)}
}

// exchange draws the result of an attempt.
func (sim *simulation) exchange(arrival int) stepReply {
	broken := func(v verdict.Verdict) stepReply {
		return stepReply{err: verdict.New(v, http.StatusBadGateway, backend.CodeExchangeFailed, "broken")}
	}
	switch rapid.SampledFrom([]string{"ok", "not sent", "not sent", "refused", "lost", "ran and lost", "cut"}).Draw(sim.t, "exchange") {
	case "not sent", "refused":
		return broken(verdict.NotRun)
	case "lost":
		return broken(verdict.MayHaveRun)
	case "ran and lost":
		sim.runs[arrival]++
		return broken(verdict.MayHaveRun)
	case "cut":
		sim.runs[arrival]++
		return stepReply{res: responseOf(arrival, io.MultiReader(strings.NewReader("ran"), errReader{}))}
	default:
		sim.runs[arrival]++
		return stepReply{res: responseOf(arrival, strings.NewReader(fmt.Sprintf("ran for %d", arrival)))}
	}
}

// errReader is the rest of a truncated response.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func responseOf(arrival int, body io.Reader) *http.Response {
	return &http.Response{
		StatusCode: http.StatusCreated, ContentLength: -1,
		Header: http.Header{"Arrival": {fmt.Sprint(arrival)}}, Body: io.NopCloser(body),
	}
}

// resume continues the arrival of one waiting step, or kills its entry.
func (sim *simulation) resume(s *step) {
	if !sim.killed[s.arrival] && rapid.IntRange(0, 9).Draw(sim.t, "kill") == 0 {
		sim.killed[s.arrival] = true
		if s.claim != nil && rapid.Bool().Draw(sim.t, "killed after the call") {
			sim.ledgerCall(*s.claim)
		} else if s.claim == nil && rapid.Bool().Draw(sim.t, "killed after the send") {
			sim.runs[s.arrival]++
		}
	}
	switch {
	case sim.killed[s.arrival]:
		// Calls of a killed entry have no effect.
		s.reply <- stepReply{err: verdict.Wrap(errConnectionLost, verdict.MayHaveRun, http.StatusBadGateway, "killed", "killed")}
	case s.claim != nil:
		s.reply <- sim.ledgerCall(*s.claim)
	default:
		s.reply <- sim.exchange(s.arrival)
	}
}

// start sends the order through a new entry.
func (sim *simulation) start(arrival int) {
	view := &membership.View{Services: map[string][]membership.BackendServer{"s": {
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), AvailabilityZone: "a", Slots: 2, Generation: 1},
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:2"), AvailabilityZone: "a", Slots: 2, Generation: 1},
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:3"), AvailabilityZone: "a", Slots: 2, Generation: 1},
	}}}
	d := &Dispatcher{
		Exchanger: simulatedEntry{sim, arrival}, Ledger: simulatedEntry{sim, arrival}, Retries: limit.NewRetryBudget(),
		Balancer: &RoundRobin{
			Members: func() *membership.View { return view }, Configuration: state.NewConfiguration,
			Regions: map[string]string{"a": "north"},
		},
	}
	r := &request.Request{
		ID: fmt.Sprint(arrival), Service: state.Service{Name: "s"}, ClientAccount: "a", Key: "k",
		Class: request.Order, Deadline: time.Now().Add(time.Hour),
	}
	h := httptest.NewRequest(http.MethodPost, "/s/orders", strings.NewReader("bronze"))
	go func() {
		res, err := d.Dispatch(context.Background(), r, h)
		d.Drain()
		sim.events <- event{arrival: arrival, res: res, err: err}
	}()
}

// runAll runs all arrivals and returns their final results.
func (sim *simulation) runAll(arrivals int) []event {
	var ended []event
	var waiting []*step
	started, active := 0, 0
	for len(ended) < arrivals {
		for active > len(waiting) {
			switch e := <-sim.events; {
			case e.step != nil:
				waiting = append(waiting, e.step)
			default:
				ended = append(ended, e)
				active--
			}
		}
		slices.SortFunc(waiting, func(a, b *step) int { return a.arrival - b.arrival })
		choices := len(waiting) + len(sim.delayed)
		if started < arrivals {
			choices++
		}
		if choices == 0 {
			break
		}
		switch at := rapid.IntRange(0, choices-1).Draw(sim.t, "next"); {
		case at < len(waiting):
			s := waiting[at]
			waiting = slices.Delete(waiting, at, at+1)
			sim.resume(s)
		case at < len(waiting)+len(sim.delayed):
			at -= len(waiting)
			sim.apply(sim.delayed[at])
			sim.delayed = slices.Delete(sim.delayed, at, at+1)
		default:
			sim.start(started)
			started++
			active++
		}
	}
	return ended
}

// TestOrderRunsAtMostOnce checks that an order with a key runs at most once
// when entries are killed, calls are lost, duplicated or delayed, and the
// ledger has no leader.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			t: t, machine: ledger.NewMachine(), events: make(chan event),
			killed: map[int]bool{}, runs: map[int]int{},
		}
		ended := sim.runAll(rapid.IntRange(2, 5).Draw(t, "arrivals"))
		total := 0
		for _, n := range sim.runs {
			total += n
		}
		if total > 1 {
			t.Fatalf("the order ran %d times: %v", total, sim.runs)
		}
		for _, e := range ended {
			if !sim.killed[e.arrival] {
				sim.checkResult(e, total)
			}
		}
	})
}

// checkResult checks the result that one caller received against the runs.
func (sim *simulation) checkResult(e event, total int) {
	if e.err != nil {
		if verdict.Of(e.err) == verdict.NotRun && sim.runs[e.arrival] > 0 {
			sim.t.Fatalf("arrival %d was reported NotRun, but it ran", e.arrival)
		}
		return
	}
	body, err := io.ReadAll(e.res.Body)
	if err != nil {
		return
	}
	if total != 1 {
		sim.t.Fatalf("arrival %d got a response, but the order ran %d times", e.arrival, total)
	}
	if want := []byte("ran for " + e.res.Header.Get("Arrival")); !bytes.Equal(body, want) {
		sim.t.Fatalf("arrival %d got response %q, want %q", e.arrival, body, want)
	}
}
