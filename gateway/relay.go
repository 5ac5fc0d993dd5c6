package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/boottime"
	"tanagerbarrow/membership"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// The headers between an entry that has lost its path to the backend servers and the
// entry that relays its requests. The relay sends none of them on.
const (
	// headerRelayServer and headerRelayAddress name the only server that may run the
	// request.
	headerRelayServer  = "Tanagerbarrow-Relay-Server"
	headerRelayAddress = "Tanagerbarrow-Relay-Address"
	// headerRelayStart is the time in milliseconds within which the request must be sent
	// to the server.
	headerRelayStart = "Tanagerbarrow-Relay-Start"
	// headerRelayGrant says that the broker has granted the server for the request.
	headerRelayGrant = "Tanagerbarrow-Relay-Grant"
	// headerRelayVersion is the version of the configuration by which the key of the request's client account
	// was checked.
	headerRelayVersion = "Tanagerbarrow-Relay-Version"
	// headerRelayResult is in each response of a relay: the verdict and, unless the
	// response is the server's, the code of the error. A response without it comes from
	// neither.
	headerRelayResult = "Tanagerbarrow-Relay-Result"
)

// The constants of relayed requests.
const (
	// relayDialTimeout bounds the time to connect to a relay: many round trips between
	// regions.
	relayDialTimeout = 200 * time.Millisecond
	// defaultRelayStart is the time within which a request without a grant must be sent.
	defaultRelayStart = time.Second
)

// The codes of errors of relayed requests.
const (
	// codeRelayFailed means that the relay could not be reached, broke its connection or
	// refused to relay.
	codeRelayFailed = "relay_failed"
	// codePathLost means that the entry lost its path to the servers while a request was
	// in progress, or that no other entry may relay it.
	codePathLost = "path_lost"
)

// newRelayExchanger returns the exchanger of requests to relays.
func newRelayExchanger(d backend.Dialect) *backend.Exchanger {
	// A relay's own errors carry no identifier.
	d.EchoesRequestID = false
	d.NotRun = func(res *http.Response) bool {
		return strings.HasPrefix(res.Header.Get(headerRelayResult), verdict.NotRun.String()+" ")
	}
	x := backend.NewExchangerWithDialect(d)
	x.SetDialTimeout(relayDialTimeout)
	return x
}

// exchangeByRelay sends an attempt through another entry. Errors of the server have the
// codes that they would have without the relay.
func (g *Gateway) exchangeByRelay(ctx context.Context, a *attempt, attempt *backend.Attempt) (*http.Response, error) {
	address, err := netip.ParseAddrPort(a.relay)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, codeRelayFailed, "the address of the relay")
	}
	start := defaultRelayStart
	if a.startBy != 0 {
		start = a.startBy - boottime.Now()
	}
	attempt.Header = attempt.Header.Clone()
	attempt.Header.Set(headerRelayServer, a.server.ID)
	attempt.Header.Set(headerRelayAddress, a.server.Address)
	attempt.Header.Set(headerRelayStart, strconv.FormatInt(start.Milliseconds(), 10))
	if a.grantID != 0 {
		attempt.Header.Set(headerRelayGrant, "1")
	}
	if attempt.ClientAccount != "" {
		attempt.Header.Set(headerRelayVersion, strconv.FormatUint(g.view.version(), 10))
	}
	attempt.BeforeBodyEnd, attempt.ExpectServer = nil, ""
	res, err := g.relayExchanger.Exchange(ctx, &membership.BackendServer{Service: a.server.Service, Address: address}, attempt)
	if err != nil {
		return nil, relayError(err, a)
	}
	result, code, _ := strings.Cut(res.Header.Get(headerRelayResult), " ")
	res.Header.Del(headerRelayResult)
	if result == verdict.Ran.String() {
		return res, nil
	}
	_ = res.Body.Close()
	if code == "" {
		code = codeRelayFailed
	}
	return nil, verdict.New(verdict.MayHaveRun, res.StatusCode, code, "backend server %s, by the relay %s", a.server.Address, a.relay)
}

// relayError returns the error of an attempt that was relayed or meant to be.
func relayError(err error, a *attempt) error {
	e := verdict.As(err)
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		_, code, _ := strings.Cut(refused.Header.Get(headerRelayResult), " ")
		switch code {
		case backend.CodeRefused:
			return err
		case backend.CodeDialFailed, backend.CodeTooLate:
		default:
			code = codeRelayFailed
		}
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, "backend server %s, by the relay %s", a.server.Address, a.relay)
	}
	switch e.Code {
	case backend.CodeDeadline, backend.CodeCallerGone, backend.CodeTooLate:
		return err
	default:
		return verdict.Wrap(err, e.Verdict, e.Status, codeRelayFailed, "relay %s", a.relay)
	}
}

// relayFor chooses an entry that relays a request without a broker, and a server for it:
// a random relay that may hold the request, and the cheapest server, if possible of the
// relay's region. It returns nil if there is none.
func (v *view) relayFor(service string, r *route.Route, zone string, avoid []uint32, now time.Time) *attempt {
	unlimited, _ := v.candidatesWithoutBroker(service, r, zone, avoid, true, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	relays := slices.DeleteFunc(slices.Clone(v.relays), func(p protocol.Relay) bool {
		return !r.AllowedIn(v.regions[p.AvailabilityZone])
	})
	if len(relays) == 0 || len(unlimited) == 0 {
		return nil
	}
	relay := relays[rand.IntN(len(relays))]
	s := unlimited[0]
	for _, other := range unlimited {
		if other.region == v.regions[relay.AvailabilityZone] {
			s = other
			break
		}
	}
	s.running++
	return &attempt{server: s, relay: relay.Address}
}

// setRelays sets the entries that may relay requests without a broker.
func (v *view) setRelays(relays []protocol.Relay) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.relays = relays
}
