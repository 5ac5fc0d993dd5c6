package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// oneReachableServer refuses connections to all backend servers but one.
type oneReachableServer struct{ alive netip.AddrPort }

// Exchange responds for the reachable backend server.
func (z oneReachableServer) Exchange(_ context.Context, to *membership.BackendServer, _ *backend.Attempt) (*http.Response, error) {
	if to.Address != z.alive {
		return nil, verdict.New(verdict.NotRun, http.StatusBadGateway, "dial_failed", "connect to %s: refused", to.Address)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// Refused connections must not use up the attempts of a request.
func TestRequestSurvivesTheLossOfMostServers(t *testing.T) {
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	for i := range 6 {
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:9000", i+1)),
			AvailabilityZone: "a", Slots: 2, Generation: 1, State: membership.Ready,
		})
	}
	config := state.NewConfiguration()
	regions := map[string]string{"a": "north"}
	d := &Dispatcher{
		Exchanger: oneReachableServer{alive: view.Services["s"][3].Address},
		Retries:   limit.NewRetryBudget(),
		Balancer: &Balancer{
			Members:       func() *membership.View { return view },
			Configuration: func() *state.Configuration { return config },
			Place:         balance.Place{AvailabilityZone: "a", Regions: regions},
			Loads: balance.NewLoads(balance.Options{
				Self: "e", Live: func() []string { return []string{"e"} }, LoanTimeout: time.Minute,
			}, time.Now()),
		},
	}
	h := httptest.NewRequest(http.MethodGet, "/s/x", nil)
	r := &request.Request{Service: state.Service{Name: "s"}, Class: request.Read, Deadline: time.Now().Add(time.Minute)}
	ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
	defer cancel()
	res, err := d.Dispatch(ctx, r, h)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}
