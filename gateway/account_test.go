package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/account"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

const accountHeader = "Account"

// withAccounts makes /safe/ and /once/ need a key, and /home/ public. Account north has two keys
// and a priority; account south is bound to the region west.
func withAccounts(c *route.Configuration) *route.Configuration {
	urgent := 0
	c.ClientAccounts = []account.Account{
		{Name: "north", Keys: []account.Digest{account.DigestOf("key-1"), account.DigestOf("key-2")}, Priority: &urgent},
		{Name: "south", Keys: []account.Digest{account.DigestOf("key-3")}, HomeRegions: []string{"west"}},
	}
	c.Routes[0].Priority = 2
	c.Routes[2].Public, c.Routes[2].HomeRegions = true, nil
	c.Routes[3].PathPrefix, c.Routes[3].HomeRegions, c.Routes[3].Shares = "/east/", []string{"east"}, c.Routes[0].Shares
	return c
}

// setUpAccounts is setUp with client accounts.
func setUpAccounts(t *testing.T, script func(net.Conn, *http.Request)) (*fakeBroker, *testEntry) {
	f, e := setUp(t, scriptedServer(t, script))
	f.mu.Lock()
	f.config = withAccounts(testConfig())
	f.config.Version = 2
	f.mu.Unlock()
	f.sendConfiguration(t, e)
	return f, e
}

// sendConfiguration sends the broker's configuration to an entry and waits until it is in force.
func (f *fakeBroker) sendConfiguration(t testing.TB, e *testEntry) {
	f.mu.Lock()
	version := f.config.Version
	for _, conn := range f.conns {
		_ = conn.Send(protocol.KindDocument, f.document())
	}
	f.mu.Unlock()
	for range 200 {
		if e.view.version() == version {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("configuration %d is not in force", version)
}

// sendKeyed sends a request with header fields and returns the status of the response.
func (e *testEntry) sendKeyed(t testing.TB, path string, header http.Header) int {
	t.Helper()
	return e.sendWithHeader(t, path, header).StatusCode
}

// sendWithHeader sends a request with header fields and returns the response, whose body is closed.
func (e *testEntry) sendWithHeader(t testing.TB, path string, header http.Header) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, e.front.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = "h", header
	r.Header.Set(idHeader, "id-1")
	r.Header.Set(timeHeader, "900")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return res
}

// TestServersReceiveTheAccountAndNoKey checks what servers receive for each way to present a key and
// to forge an account's name, by the entry itself and by a relay.
func TestServersReceiveTheAccountAndNoKey(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) {
		seen <- r
		respond(c, r, 200, "", "x")
	})
	cases := map[string]struct {
		path   string
		header http.Header
		status int
		name   string
	}{
		"key":            {"/safe/", http.Header{"Authorization": {"Bearer key-1"}}, 200, "north"},
		"second key":     {"/once/", http.Header{"Authorization": {"bearer  key-2"}}, 200, "north"},
		"forged":         {"/safe/", http.Header{"Authorization": {"Bearer key-3"}, "Account": {"north", "x"}, "account": {"north"}, "ACCOUNT": {"y"}}, 200, "south"},
		"hop by hop":     {"/safe/", http.Header{"Authorization": {"Bearer key-1"}, "Connection": {"Account, Authorization"}}, 200, "north"},
		"public":         {"/home/", http.Header{"Authorization": {"Bearer key-1"}, "Account": {"north"}}, 200, ""},
		"public, no key": {"/home/", http.Header{"Account": {"north"}}, 200, ""},
		"none":           {"/safe/", http.Header{"Account": {"north"}}, 401, ""},
		"unknown":        {"/safe/", http.Header{"Authorization": {"Bearer key-4"}}, 401, ""},
		"other scheme":   {"/safe/", http.Header{"Authorization": {"Basic key-1"}}, 401, ""},
		"two":            {"/safe/", http.Header{"Authorization": {"Bearer key-1", "Bearer key-2"}}, 401, ""},
		"empty":          {"/safe/", http.Header{"Authorization": {"Bearer "}}, 401, ""},
		"no home":        {"/east/", http.Header{"Authorization": {"Bearer key-3"}}, 503, ""},
	}
	for _, relayed := range []bool{false, true} {
		if relayed {
			f.sendConfiguration(t, startRelay(t, f))
		}
		for name, c := range cases {
			if got := e.sendKeyed(t, c.path, c.header.Clone()); got != c.status {
				t.Errorf("%s: status %d", name, got)
			}
			if c.status != 200 {
				continue
			}
			r := <-seen
			if r.Header.Get(accountHeader) != c.name || len(r.Header.Values(accountHeader)) > 1 || r.Header.Get("Authorization") != "" {
				t.Errorf("%s, relayed %v: the server received %v", name, relayed, r.Header)
			}
		}
	}
}

// TestAccountDecidesPriorityAndRegions checks what the broker is asked.
func TestAccountDecidesPriorityAndRegions(t *testing.T) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	for _, key := range []string{"key-1", "key-3"} {
		e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer " + key}})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	north, south := f.asks[0], f.asks[1]
	if north.Priority >= south.Priority || !slices.Equal(south.HomeRegions, []string{"west"}) || len(north.HomeRegions) != 0 {
		t.Errorf("asks are %+v and %+v", north, south)
	}
}

// TestKeyIsCheckedAgainBeforeTheFirstByte takes a key away while its request waits at the broker.
func TestKeyIsCheckedAgainBeforeTheFirstByte(t *testing.T) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	f.mu.Lock()
	f.config.Version++
	f.config.ClientAccounts[0].Keys = f.config.ClientAccounts[0].Keys[1:]
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) {
		// The broker sends the configuration before the grant.
		for _, conn := range f.conns {
			_ = conn.Send(protocol.KindDocument, f.document())
		}
		return 1, nil, false
	}
	f.mu.Unlock()
	if got := e.sendKeyed(t, "/once/", http.Header{"Authorization": {"Bearer key-1"}}); got != http.StatusUnauthorized {
		t.Errorf("status %d", got)
	}
	if out := f.releases(1)[0]; out.Outcome != broker.Unused {
		t.Errorf("released: %+v", out)
	}
	if got := e.sendKeyed(t, "/once/", http.Header{"Authorization": {"Bearer key-2"}}); got != http.StatusOK {
		t.Errorf("the other key: status %d", got)
	}
}

// TestEntryWithoutBrokerRefusesNoKey checks that an entry without a broker doesn't say that a key is
// wrong, which may only be too new, and serves those that it knows.
func TestEntryWithoutBrokerRefusesNoKey(t *testing.T) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	f.silence(t, e)
	if got := e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer key-4"}}); got != http.StatusServiceUnavailable {
		t.Errorf("unknown key: status %d", got)
	}
	if got := e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer key-1"}}); got != http.StatusOK {
		t.Errorf("known key: status %d", got)
	}
}

// TestWithoutAccountsHeadersPass checks that a deployment without client accounts passes on what it
// passed on before.
func TestWithoutAccountsHeadersPass(t *testing.T) {
	seen := make(chan *http.Request, 1)
	_, e := setUpWithLog(t, zerolog.Nop(), scriptedServer(t, func(c net.Conn, r *http.Request) {
		seen <- r
		respond(c, r, 200, "", "x")
	}))
	e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer key-1"}, "Account": {"north"}})
	if r := <-seen; r.Header.Get("Authorization") != "Bearer key-1" || r.Header.Get(accountHeader) != "north" {
		t.Errorf("the server received %v", r.Header)
	}
}

// limitAccounts gives both accounts a limit.
func limitAccounts(t *testing.T, f *fakeBroker, e *testEntry) {
	f.mu.Lock()
	for n := range f.config.ClientAccounts {
		f.config.ClientAccounts[n].RatePerSecond = 10
	}
	f.config.Version++
	f.mu.Unlock()
	f.sendConfiguration(t, e)
}

// TestAccountAtItsLimitGets429 checks the status and the time that a caller is told.
func TestAccountAtItsLimitGets429(t *testing.T) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	f.mu.Lock()
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) {
		return 0, &broker.Refusal{Reason: broker.ReasonAccountLimit, RetryMillis: 250}, false
	}
	f.mu.Unlock()
	res := e.sendWithHeader(t, "/safe/", http.Header{"Authorization": {"Bearer key-1"}})
	if res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("status %d, header %v", res.StatusCode, res.Header)
	}
}

// TestEntryWithoutBrokerKeepsToItsShare checks that an entry without a broker lets through what its share
// allows, names the share to the next broker, and nothing after the share has expired.
func TestEntryWithoutBrokerKeepsToItsShare(t *testing.T) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	limitAccounts(t, f, e)
	f.mu.Lock()
	for _, conn := range f.conns {
		_ = conn.Send(protocol.KindAccountShares, []broker.AccountShare{{ClientAccount: "north", Share: 2}})
	}
	f.mu.Unlock()
	f.received(1, func() int { return len(e.session.accountShares.held()) })
	f.silence(t, e)
	var got []int
	for _, key := range []string{"key-1", "key-1", "key-1", "key-3"} {
		got = append(got, e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer " + key}}))
	}
	if !slices.Equal(got, []int{200, 200, 503, 503}) {
		t.Errorf("statuses %v, want 200 for the share of 2, and none without a share", got)
	}
	now := boottime.Now()
	e.session.accountShares.set([]broker.AccountShare{{ClientAccount: "north", Share: 9}}, now)
	e.session.mu.Lock()
	e.session.lostSince = now - account.ShareLifetime - time.Second
	e.session.mu.Unlock()
	if got := e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer key-1"}}); got != http.StatusServiceUnavailable {
		t.Errorf("status %d after the share has expired", got)
	}
}

// silence ends the broker, and waits until the entry knows.
func (f *fakeBroker) silence(t testing.TB, e *testEntry) {
	t.Helper()
	_ = f.listener.Close()
	f.mu.Lock()
	for _, conn := range f.conns {
		conn.Close()
	}
	f.mu.Unlock()
	for range 400 {
		if !e.session.inTouch() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the entry still has a broker")
}
