package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/membership"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// loadOf is the load that a fake server reports after a delay; a zero value is a
// server that doesn't respond.
type loadOf struct {
	running, slots, pace int
	cold                 time.Duration
	id                   string
	delay                time.Duration
}

// newAloneChooser returns a chooser among servers of zone a with the given loads,
// numbered from 1.
func newAloneChooser(loads []loadOf) *aloneChooser {
	v := newView(nil, map[string]string{"a": "west"})
	for n := range loads {
		v.servers[uint32(n+1)] = &server{
			Server: protocol.Server{Number: uint32(n + 1), ID: fmt.Sprint("i-", n+1), Service: "s", AvailabilityZone: "a", Slots: 2},
			region: "west", endpoint: &membership.BackendServer{},
		}
	}
	return &aloneChooser{view: v, zone: "a", readLoad: func(ctx context.Context, s *server) (checkResponse, error) {
		l := loads[s.Number-1]
		if l.slots == 0 {
			<-ctx.Done()
			return checkResponse{}, ctx.Err()
		}
		time.Sleep(l.delay)
		id := l.id
		if id == "" {
			id = s.ID
		}
		report := backend.Report{ServerID: id, Running: l.running, Slots: l.slots, Pace: l.pace, Cold: l.cold}
		return checkResponse{http.StatusOK, report}, nil
	}}
}

// TestAloneChoiceKnowsLoad chooses among three servers without a broker. The one that
// has a free slot at its usual pace must be chosen whatever the order of the others; a
// blind choice sent every fourth request to a slow machine.
func TestAloneChoiceKnowsLoad(t *testing.T) {
	idle := loadOf{slots: 2, pace: 100, delay: 10 * time.Millisecond}
	for name, others := range map[string][]loadOf{
		"slow machines":  {{slots: 2, pace: 500}, {slots: 2, pace: 480}},
		"full":           {{running: 2, slots: 2, pace: 100}, {running: 3, slots: 2, pace: 100}},
		"cold":           {{slots: 2, pace: 100, cold: time.Second}, {slots: 2, pace: 100, cold: time.Second}},
		"silent":         {{}, {}},
		"another server": {{slots: 2, pace: 100, id: "i-x"}, {slots: 2, pace: 100, id: "i-y"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser := newAloneChooser(append([]loadOf{idle}, others...))
				for range 30 {
					s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
					if s == nil || s.Number != 1 {
						t.Fatalf("chose %+v", s)
					}
					chooser.view.finishRequest(s, false, time.Now())
				}
			})
		})
	}
}

// TestAloneChoiceWithoutIdleServer chooses when no server is idle: the least bad one
// within the time for the responses, and any if none responds.
func TestAloneChoiceWithoutIdleServer(t *testing.T) {
	for name, c := range map[string]struct {
		loads []loadOf
		want  map[uint32]bool
	}{
		"a slow one before a full one": {[]loadOf{{running: 2, slots: 2, pace: 100}, {slots: 2, pace: 400}, {slots: 2, pace: 500}}, map[uint32]bool{2: true}},
		"one that responds":            {[]loadOf{{}, {running: 2, slots: 2, pace: 500}, {}}, map[uint32]bool{2: true}},
		"none responds":                {[]loadOf{{}, {}, {}}, map[uint32]bool{1: true, 2: true, 3: true}},
		"only one":                     {[]loadOf{{}}, map[uint32]bool{1: true}},
		"a silent one before cold ones": {[]loadOf{
			{slots: 2, pace: 100, cold: time.Second}, {}, {slots: 2, pace: 100, cold: time.Second},
		}, map[uint32]bool{2: true}},
		"all cold or replaced": {[]loadOf{
			{slots: 2, pace: 100, cold: time.Second}, {slots: 2, pace: 100, id: "i-x"}, {slots: 2, pace: 100, cold: time.Second},
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser := newAloneChooser(c.loads)
				begun := time.Now()
				s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
				if (s == nil) != (c.want == nil) || s != nil && !c.want[s.Number] {
					t.Errorf("chose %+v", s)
				}
				if took := time.Since(begun); took > loadTimeout {
					t.Errorf("the choice took %v", took)
				}
			})
		})
	}
	chooser := newAloneChooser([]loadOf{{slots: 2, pace: 100}})
	if s := chooser.choose(t.Context(), "s", &route.Route{}, []uint32{1}); s != nil {
		t.Errorf("chose %+v, which has received the request before", s)
	}
}
