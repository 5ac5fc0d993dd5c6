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

// step is a point at which one entry waits for the outside world.
type step struct {
	arrival int
	claim   *ledger.Command // nil for an exchange
	reply   chan stepReply
}

// stepReply is what the world answers.
type stepReply struct {
	result ledger.Result
	res    *http.Response
	err    error
}

// errLost is what an entry sees of a lost call.
var errLost = errors.New("connection lost")

// world runs arrivals of one order through several entries, one step at a
// time. It draws which entry goes on and what becomes of its call.
type world struct {
	t       *rapid.T
	machine *ledger.Machine
	events  chan event
	killed  map[int]bool
	delayed []ledger.Command
	noLead  int // steps until the ledger group has a leader again
	runs    map[int]int
}

// event is a step or, with a nil step, the end of an arrival.
type event struct {
	arrival int
	step    *step
	res     *http.Response
	err     error
}

// entryOf is the view that one arrival's entry has of the world.
type entryOf struct {
	w       *world
	arrival int
}

func (e entryOf) Apply(_ context.Context, _ []string, c ledger.Command) (ledger.Result, error) {
	r := e.wait(&step{arrival: e.arrival, claim: &c, reply: make(chan stepReply)})
	return r.result, r.err
}

func (e entryOf) Exchange(context.Context, *membership.BackendServer, *backend.Attempt) (*http.Response, error) {
	r := e.wait(&step{arrival: e.arrival, reply: make(chan stepReply)})
	return r.res, r.err
}

func (e entryOf) wait(s *step) stepReply {
	e.w.events <- event{arrival: e.arrival, step: s}
	return <-s.reply
}

// apply carries a command out on the ledger.
func (w *world) apply(c ledger.Command) ledger.Result {
	data, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	encoded, err := w.machine.Apply(data)
	if err != nil {
		w.t.Fatal(err)
	}
	var r ledger.Result
	if err := json.Unmarshal(encoded, &r); err != nil {
		w.t.Fatal(err)
	}
	return r
}

// ledgerCall draws what becomes of a ledger command.
func (w *world) ledgerCall(c ledger.Command) stepReply {
	if w.noLead > 0 {
		w.noLead--
		if rapid.Bool().Draw(w.t, "delayed at lost leader") {
			w.delayed = append(w.delayed, c)
		}
		return stepReply{err: errLost}
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "answer lost", "twice", "delayed", "delayed copy", "leader lost"}).Draw(w.t, "ledger") {
	case "lost":
		return stepReply{err: errLost}
	case "answer lost":
		w.apply(c)
		return stepReply{err: errLost}
	case "twice":
		w.apply(c)
	case "delayed":
		w.delayed = append(w.delayed, c)
		return stepReply{err: errLost}
	case "delayed copy":
		w.delayed = append(w.delayed, c)
	case "leader lost":
		w.noLead = rapid.IntRange(1, 4).Draw(w.t, "steps without a leader")
		return stepReply{err: errLost}
	}
	return stepReply{result: w.apply(c)}
}

// exchange draws what becomes of an attempt.
func (w *world) exchange(arrival int) stepReply {
	broken := func(v verdict.Verdict) stepReply {
		return stepReply{err: verdict.New(v, http.StatusBadGateway, backend.CodeExchangeFailed, "broken")}
	}
	switch rapid.SampledFrom([]string{"ok", "not sent", "not sent", "refused", "lost", "ran and lost", "cut"}).Draw(w.t, "exchange") {
	case "not sent", "refused":
		return broken(verdict.NotRun)
	case "lost":
		return broken(verdict.MayHaveRun)
	case "ran and lost":
		w.runs[arrival]++
		return broken(verdict.MayHaveRun)
	case "cut":
		w.runs[arrival]++
		return stepReply{res: responseOf(arrival, io.MultiReader(strings.NewReader("ran"), errReader{}))}
	default:
		w.runs[arrival]++
		return stepReply{res: responseOf(arrival, strings.NewReader(fmt.Sprintf("ran for %d", arrival)))}
	}
}

// errReader is the rest of an answer that is cut.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func responseOf(arrival int, body io.Reader) *http.Response {
	return &http.Response{
		StatusCode: http.StatusCreated, ContentLength: -1,
		Header: http.Header{"Arrival": {fmt.Sprint(arrival)}}, Body: io.NopCloser(body),
	}
}

// goOn lets the arrival of one waiting step go on, or kills its entry.
func (w *world) goOn(s *step) {
	if !w.killed[s.arrival] && rapid.IntRange(0, 9).Draw(w.t, "kill") == 0 {
		w.killed[s.arrival] = true
		if s.claim != nil && rapid.Bool().Draw(w.t, "killed after the call") {
			w.ledgerCall(*s.claim)
		} else if s.claim == nil && rapid.Bool().Draw(w.t, "killed after the send") {
			w.runs[s.arrival]++
		}
	}
	switch {
	case w.killed[s.arrival]:
		// Nothing of a killed entry reaches the world.
		s.reply <- stepReply{err: verdict.Wrap(errLost, verdict.MayHaveRun, http.StatusBadGateway, "killed", "killed")}
	case s.claim != nil:
		s.reply <- w.ledgerCall(*s.claim)
	default:
		s.reply <- w.exchange(s.arrival)
	}
}

// start sends the order through an entry of its own.
func (w *world) start(arrival int) {
	view := &membership.View{Services: map[string][]membership.BackendServer{"s": {
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), AvailabilityZone: "a", Slots: 2, Generation: 1},
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:2"), AvailabilityZone: "a", Slots: 2, Generation: 1},
		{Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:3"), AvailabilityZone: "a", Slots: 2, Generation: 1},
	}}}
	d := &Dispatcher{
		Exchanger: entryOf{w, arrival}, Ledger: entryOf{w, arrival}, Retries: limit.NewRetryBudget(),
		Balancer: &RoundRobin{
			Members: func() *membership.View { return view }, Configuration: state.NewConfiguration,
			Regions: map[string]string{"a": "north"},
		},
	}
	r := &request.Request{
		ID: fmt.Sprint(arrival), Service: state.Service{Name: "s"}, Account: "a", Key: "k",
		Class: request.Order, Deadline: time.Now().Add(time.Hour),
	}
	h := httptest.NewRequest(http.MethodPost, "/s/orders", strings.NewReader("bronze"))
	go func() {
		res, err := d.Dispatch(context.Background(), r, h)
		d.Drain()
		w.events <- event{arrival: arrival, res: res, err: err}
	}()
}

// runAll runs all arrivals to their end.
func (w *world) runAll(arrivals int) []event {
	var ended []event
	var waiting []*step
	started, active := 0, 0
	for len(ended) < arrivals {
		for active > len(waiting) {
			switch e := <-w.events; {
			case e.step != nil:
				waiting = append(waiting, e.step)
			default:
				ended = append(ended, e)
				active--
			}
		}
		slices.SortFunc(waiting, func(a, b *step) int { return a.arrival - b.arrival })
		choices := len(waiting) + len(w.delayed)
		if started < arrivals {
			choices++
		}
		if choices == 0 {
			break
		}
		switch at := rapid.IntRange(0, choices-1).Draw(w.t, "next"); {
		case at < len(waiting):
			s := waiting[at]
			waiting = slices.Delete(waiting, at, at+1)
			w.goOn(s)
		case at < len(waiting)+len(w.delayed):
			at -= len(waiting)
			w.apply(w.delayed[at])
			w.delayed = slices.Delete(w.delayed, at, at+1)
		default:
			w.start(started)
			started++
			active++
		}
	}
	return ended
}

// TestOrderRunsAtMostOnce holds the promise of a key against entries that are
// killed, calls that are lost, doubled or late, and a ledger without a leader.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, machine: ledger.NewMachine(), events: make(chan event),
			killed: map[int]bool{}, runs: map[int]int{},
		}
		ended := w.runAll(rapid.IntRange(2, 5).Draw(t, "arrivals"))
		total := 0
		for _, n := range w.runs {
			total += n
		}
		if total > 1 {
			t.Fatalf("the order ran %d times: %v", total, w.runs)
		}
		for _, e := range ended {
			if !w.killed[e.arrival] {
				w.judge(e, total)
			}
		}
	})
}

// judge holds what one caller was told against what ran.
func (w *world) judge(e event, total int) {
	if e.err != nil {
		if verdict.Of(e.err) == verdict.NotRun && w.runs[e.arrival] > 0 {
			w.t.Fatalf("arrival %d was told NotRun, but it ran", e.arrival)
		}
		return
	}
	body, err := io.ReadAll(e.res.Body)
	if err != nil {
		return
	}
	if total != 1 {
		w.t.Fatalf("arrival %d got an answer, but the order ran %d times", e.arrival, total)
	}
	if want := []byte("ran for " + e.res.Header.Get("Arrival")); !bytes.Equal(body, want) {
		w.t.Fatalf("arrival %d got answer %q, want %q", e.arrival, body, want)
	}
}
