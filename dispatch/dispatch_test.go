package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// unreachableServers refuses connections to all addresses but one.
type unreachableServers struct{ left netip.AddrPort }

func (g unreachableServers) Exchange(_ context.Context, to *membership.BackendServer, _ *backend.Attempt) (*http.Response, error) {
	if to.Address != g.left {
		return nil, verdict.New(verdict.NotRun, http.StatusBadGateway, backend.CodeDialFailed, "refused")
	}
	return responseOf(0, strings.NewReader("ran")), nil
}

// A request must reach the last backend server when all those of an availability
// zone fail at once, even with an empty retry budget.
func TestServersOfAZoneGoneAtOnce(t *testing.T) {
	const gone = 5
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	var last netip.AddrPort
	for i := range gone + 1 {
		last = netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i))
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{Service: "s", Address: last, AvailabilityZone: "a"})
	}
	retries := limit.NewRetryBudget()
	for retries.TryRetry() {
	}
	d := &Dispatcher{
		Exchanger: unreachableServers{left: last}, Retries: retries,
		Balancer: &RoundRobin{
			Members: func() *membership.View { return view }, Configuration: state.NewConfiguration,
			Regions: map[string]string{"a": "north"},
		},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		r := &request.Request{Service: state.Service{Name: "s"}, Class: request.Once, Deadline: time.Now().Add(time.Hour)}
		res, err := d.Dispatch(context.Background(), r, httptest.NewRequest(method, "/s/x", strings.NewReader("bronze")))
		if err != nil || res.StatusCode != http.StatusCreated {
			t.Fatalf("%s: %v", method, err)
		}
	}
}
