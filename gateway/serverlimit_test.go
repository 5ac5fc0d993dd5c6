package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/route"
)

// TestResponsesReportTheServersLimit checks what an entry tells the broker and its log
// of a limit that a server names, changes and withdraws.
func TestResponsesReportTheServersLimit(t *testing.T) {
	var header atomic.Value
	var status atomic.Int64
	log := &bytes.Buffer{}
	f, e := setUpWithLog(t, zerolog.New(log), scriptedServer(t, func(c net.Conn, r *http.Request) {
		respond(c, r, int(status.Load()), header.Load().(string), "x")
	}))
	named := func(perSecond float64) *broker.LimitReport {
		return &broker.LimitReport{Source: broker.LimitFromRequests, Named: true, PerSecond: perSecond}
	}
	for n, step := range []struct {
		header string
		status int64
		want   *broker.LimitReport
	}{
		{"", 200, nil},
		{limitHeader + ": 1.5\r\n", 200, named(1.5)},
		{limitHeader + ": 0.5\r\n", 500, named(0.5)},
		{"", 500, nil},
		{"", 200, &broker.LimitReport{Source: broker.LimitFromRequests}},
		{"", 200, nil},
	} {
		header.Store(step.header)
		status.Store(step.status)
		e.send(t, http.MethodPost, "/once/x", "")
		if diff := cmp.Diff(step.want, f.releases(n + 1)[n].Limit, cmp.AllowUnexported(broker.LimitReport{})); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", n, diff)
		}
	}
	if lines := strings.Count(log.String(), `"event":"server_limit"`); lines != 3 {
		t.Errorf("%d log lines about the limit, want 3:\n%s", lines, log)
	}
}

// TestEntriesWithoutBrokerShareALimit lets 19 entries without a broker send far more
// requests than a limited service takes, in one long loss of the broker and in many short
// ones: all together keep to the limit, and use it.
func TestEntriesWithoutBrokerShareALimit(t *testing.T) {
	const entries, perSecond = 19, 1.5
	for name, aloneFor := range map[string]time.Duration{"long": time.Hour, "short": 500 * time.Millisecond} {
		random := rand.New(rand.NewPCG(5, 6))
		turns := make([]limitTurn, entries)
		var sent []time.Duration
		for at := time.Duration(0); at < 2*time.Minute; at += 10 * time.Millisecond {
			if at%(3*time.Second) > aloneFor {
				continue
			}
			n := random.IntN(entries)
			if turns[n].take(perSecond, entries, time.Unix(0, int64(at)), random.Float64()) {
				sent = append(sent, at)
			}
		}
		for i, at := range sent {
			inWindow := 0
			for _, other := range sent[i:] {
				if other-at < 4*time.Second {
					inWindow++
				}
			}
			if inWindow > 1.5*perSecond*4+5 {
				t.Fatalf("%s: %d requests in 4 s, the limit is %v a second", name, inWindow, perSecond)
			}
		}
		if used := float64(len(sent)) / 120; name == "long" && used < perSecond/2 {
			t.Errorf("%v requests a second were sent, the limit is %v", used, perSecond)
		}
	}
	unknown := limitTurn{}
	if unknown.take(1, 0, time.Now(), 0) || unknown.take(0, 19, time.Now(), 0) {
		t.Error("an entry that does not know the number of entries, or a limit of zero, sent a request")
	}
}

// TestAloneChoiceSparesLimitedServers checks that an entry without a broker neither uses
// nor asks a limited server while there are others.
func TestAloneChoiceSparesLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := loadOf{slots: 2, pace: 100}
		chooser := newAloneChooser([]loadOf{idle, idle, idle})
		readLoad := chooser.readLoad
		chooser.readLoad = func(ctx context.Context, s *server) (checkResponse, error) {
			if s.Number == 1 {
				t.Error("the limited server was asked for its load")
			}
			return readLoad(ctx, s)
		}
		chooser.view.servers[1].limit = broker.RequestLimit{PerSecond: 1, Sources: broker.LimitFromRequests}
		chooser.view.entries = 19
		for range 30 {
			s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
			if s == nil || s.Number == 1 {
				t.Fatalf("chose %+v", s)
			}
			chooser.view.finishRequest(s, false, time.Now())
		}
	})
}

// TestLimitedServersAreCheckedSeldom checks that health checks take a small part of a
// request limit, and that an unhealthy server is still noticed in time.
func TestLimitedServersAreCheckedSeldom(t *testing.T) {
	for perSecond, want := range map[float64]time.Duration{0: 4 * time.Second, 0.5: 4 * time.Second, 2: 2 * time.Second, 100: time.Second} {
		if got := limitedCheckInterval(broker.RequestLimit{PerSecond: perSecond, Sources: 1}); got != want {
			t.Errorf("with %v a second a check each %v, want %v", perSecond, got, want)
		}
	}
}
