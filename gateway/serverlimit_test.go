package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
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
