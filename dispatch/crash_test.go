package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/balance"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// crashingServers simulates backend servers that the request crashes. The first
// attempt on each breaks its connection with the given code; later dials fail.
type crashingServers struct {
	code    string
	crashed map[netip.AddrPort]bool
}

func (c *crashingServers) Exchange(_ context.Context, to *membership.BackendServer, _ *backend.Attempt) (*http.Response, error) {
	if c.crashed[to.Address] {
		return nil, verdict.New(verdict.NotRun, http.StatusBadGateway, backend.CodeDialFailed, "refused")
	}
	c.crashed[to.Address] = true
	return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, c.code, "broken")
}

func TestNoThirdBackendServerAfterCrashes(t *testing.T) {
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	for port := range uint16(6) {
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1),
			AvailabilityZone: "a", Slots: 2, Generation: 1,
		})
	}
	for _, code := range []string{backend.CodeExchangeFailed, backend.CodeConnectionLost, backend.CodeAnswerCut} {
		c := &crashingServers{code: code, crashed: map[netip.AddrPort]bool{}}
		d := &Dispatcher{
			Exchanger: c, Retries: limit.NewRetryBudget(),
			Balancer: &RoundRobin{
				Members: func() *membership.View { return view }, Configuration: state.NewConfiguration,
				Regions: map[string]string{"a": "north"},
			},
		}
		r := &request.Request{Service: state.Service{Name: "s"}, Class: request.Read, Deadline: time.Now().Add(time.Hour)}
		res, err := d.Dispatch(context.Background(), r, httptest.NewRequest(http.MethodGet, "/s/x", nil))
		if err == nil {
			_ = res.Body.Close()
		}
		if verdict.Of(err) != verdict.MayHaveRun || len(c.crashed) > 2 {
			t.Errorf("%s: %d backend servers crashed, verdict %v", code, len(c.crashed), verdict.Of(err))
		}
	}
}

// lostZoneServers simulates backend servers of which all but one have failed
// while the pool has connections to each: a reused connection breaks, a dial is
// refused.
type lostZoneServers struct{ left netip.AddrPort }

func (l lostZoneServers) Exchange(_ context.Context, to *membership.BackendServer, a *backend.Attempt) (*http.Response, error) {
	switch {
	case to.Address == l.left:
		return responseOf(0, http.NoBody), nil
	case a.NewConnection:
		return nil, verdict.New(verdict.NotRun, http.StatusBadGateway, backend.CodeDialFailed, "refused")
	default:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, backend.CodeConnectionLost, "broken")
	}
}

// A read must succeed after a zone fails, although its pooled connections to
// several of the zone's backend servers break in the same way as connections to
// servers that the read crashed.
func TestReadSurvivesPooledConnectionsOfALostZone(t *testing.T) {
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	var last netip.AddrPort
	for port := range uint16(5) {
		last = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1)
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: last, AvailabilityZone: "a", Slots: 2, Generation: 1,
		})
	}
	d := &Dispatcher{
		Exchanger: lostZoneServers{left: last}, Retries: limit.NewRetryBudget(),
		Balancer: &RoundRobin{
			Members: func() *membership.View { return view }, Configuration: state.NewConfiguration,
			Regions: map[string]string{"a": "north"},
		},
	}
	for range view.Services["s"] {
		r := &request.Request{Service: state.Service{Name: "s"}, Class: request.Read, Deadline: time.Now().Add(time.Hour)}
		res, err := d.Dispatch(context.Background(), r, httptest.NewRequest(http.MethodGet, "/s/x", nil))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
	}
}

// closingZone simulates a zone whose backend servers close while requests run on them:
// each connection to them breaks, also a new one.
type closingZone struct{ zone string }

func (c closingZone) Exchange(_ context.Context, to *membership.BackendServer, _ *backend.Attempt) (*http.Response, error) {
	if to.AvailabilityZone == c.zone {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, backend.CodeExchangeFailed, "broken")
	}
	return responseOf(0, http.NoBody), nil
}

// TestReadSurvivesAClosingZone lets all servers of a zone close at once: a read that broke
// on one of them must be tried in another zone next, and in the same one if there is none.
func TestReadSurvivesAClosingZone(t *testing.T) {
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	for port := range uint16(6) {
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1),
			AvailabilityZone: []string{"a", "b", "b"}[port%3], Slots: 2, Generation: 1,
		})
	}
	regions := map[string]string{"a": "north", "b": "north"}
	config := state.NewConfiguration()
	for name, balancer := range map[string]Picker{
		"round robin": &RoundRobin{Members: func() *membership.View { return view }, Configuration: state.NewConfiguration, Regions: regions},
		"adaptive": &Balancer{
			Members: func() *membership.View { return view }, Configuration: func() *state.Configuration { return config },
			Place: balance.Place{AvailabilityZone: "a", Regions: regions, RoundTrips: balance.DefaultRoundTrips()},
			Loads: balance.NewLoads(balance.Options{Self: "e", Live: func() []string { return []string{"e"} }}, time.Now()),
		},
	} {
		for range 60 {
			d := &Dispatcher{Exchanger: closingZone{"b"}, Retries: limit.NewRetryBudget(), Balancer: balancer}
			r := &request.Request{Service: state.Service{Name: "s"}, Class: request.Read, Deadline: time.Now().Add(time.Hour)}
			res, err := d.Dispatch(context.Background(), r, httptest.NewRequest(http.MethodGet, "/s/x", nil))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			_ = res.Body.Close()
		}
	}
}
