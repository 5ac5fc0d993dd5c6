package gateway

import (
	"context"
	"flag"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// init makes the random schedules reproducible; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// revocation is the bound of the tests.
const revocation = 5 * time.Second

// TestNoKeyOutlivesItsRevocation runs an entry whose queries, replies and configurations are late, lost, out of
// order or read after pauses. A key that a version has taken away must not pass a check later than the bound
// after the version's acknowledgement.
func TestNoKeyOutlivesItsRevocation(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Second
		c := newCurrency(func() time.Duration { return now })
		acknowledged := []time.Duration{0}
		var queries []time.Duration
		var replies []protocol.Currency
		version, served := uint64(0), 0
		for range rapid.IntRange(20, 200).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"wait", "pause", "declare", "query", "query", "answer", "answer", "deliver", "deliver", "configure"}).Draw(r, "step") {
			case "wait":
				now += time.Duration(rapid.IntRange(1, 900).Draw(r, "ms")) * time.Millisecond
			case "pause":
				now += time.Duration(rapid.IntRange(1, 7000).Draw(r, "ms")) * time.Millisecond
			case "declare":
				acknowledged = append(acknowledged, now)
			case "query":
				queries = append(queries, now)
			case "answer":
				if len(queries) > 0 {
					n := rapid.IntRange(0, len(queries)-1).Draw(r, "query")
					replies = append(replies, protocol.Currency{Stamp: queries[n], Version: uint64(len(acknowledged) - 1)})
				}
			case "deliver":
				if len(replies) > 0 {
					c.record(replies[rapid.IntRange(0, len(replies)-1).Draw(r, "reply")], version)
				}
			case "configure":
				version = uint64(rapid.IntRange(int(version), len(acknowledged)-1).Draw(r, "version"))
				c.configured(version)
			}
			if !c.within(time.Duration(proofShare * float64(revocation))) {
				continue
			}
			served++
			if newer := int(version) + 1; newer < len(acknowledged) && now-acknowledged[newer] > revocation {
				r.Fatalf("version %d is in force at %s, %d was acknowledged at %s", version, now, newer, acknowledged[newer])
			}
		}
	})
}

// setUpStrict is setUpAccounts with a broker that confirms configurations while the test allows it, and strict
// revocation.
func setUpStrict(t *testing.T) (*fakeBroker, *testEntry) {
	f, e := setUpAccounts(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	e.options.Settings.Bounds.StrictRevocation, e.options.Settings.Bounds.Revocation = true, revocation
	f.mu.Lock()
	defer f.mu.Unlock()
	f.other = func(conn *link.Conn, kind link.Kind, body []byte) {
		var m protocol.CurrencyQuery
		if kind == protocol.KindCurrencyQuery && link.Decode(body, &m) == nil {
			_ = conn.Send(protocol.KindCurrency, protocol.Currency{Stamp: m.Stamp, Version: f.config.Version})
		}
	}
	for _, conn := range f.conns {
		_ = conn.Send(protocol.KindCapabilities, protocol.Capabilities{Currency: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.runCurrency(ctx)
	return f, e
}

// keyed sends a request with a key and returns the status.
func (e *testEntry) keyed(t testing.TB, key string) int {
	t.Helper()
	return e.sendKeyed(t, "/safe/", http.Header{"Authorization": {"Bearer " + key}})
}

// TestEntryWithoutProofServesNoKey checks what an entry serves with a proof and after its end, and that no reply
// to an old query helps it.
func TestEntryWithoutProofServesNoKey(t *testing.T) {
	f, e := setUpStrict(t)
	if got := e.keyed(t, "key-1"); got != http.StatusOK {
		t.Errorf("with a broker: status %d", got)
	}
	if got := e.keyed(t, "key-4"); got != http.StatusUnauthorized {
		t.Errorf("unknown key: status %d", got)
	}
	f.mu.Lock()
	f.other = nil
	f.mu.Unlock()
	c := e.session.currency
	c.mu.Lock()
	c.proven = boottime.Now() - 3*time.Second
	c.mu.Unlock()
	if got := e.keyed(t, "key-4"); got != http.StatusServiceUnavailable {
		t.Errorf("unknown key to an older configuration: status %d", got)
	}
	c.mu.Lock()
	c.proven = boottime.Now() - 4100*time.Millisecond
	c.mu.Unlock()
	c.record(protocol.Currency{Stamp: boottime.Now() - 4050*time.Millisecond, Version: 2}, 2)
	res := e.sendWithHeader(t, "/safe/", http.Header{"Authorization": {"Bearer key-1"}})
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("without a proof: status %d, header %v", res.StatusCode, res.Header)
	}
	if got := e.sendKeyed(t, "/home/", http.Header{}); got != http.StatusOK {
		t.Errorf("public route: status %d", got)
	}
}

// TestProofEndsWhileARequestWaits lets the proof end while a request waits at the broker.
func TestProofEndsWhileARequestWaits(t *testing.T) {
	f, e := setUpStrict(t)
	if got := e.keyed(t, "key-1"); got != http.StatusOK {
		t.Fatalf("with a proof: status %d", got)
	}
	f.mu.Lock()
	f.other = nil
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) {
		c := e.session.currency
		c.mu.Lock()
		defer c.mu.Unlock()
		c.proven = boottime.Now() - revocation
		return 1, nil, false
	}
	f.mu.Unlock()
	if got := e.keyed(t, "key-1"); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
	if out := f.releases(2)[1]; out.Outcome != broker.Unused {
		t.Errorf("released: %+v", out)
	}
}
