package gateway

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// upload returns a call with a body; an unknown length is sent in chunks.
func upload(bytes int, known bool) *call {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bytes)))
	if !known {
		r.ContentLength = -1
	}
	return &call{request: r}
}

// TestBodiesKeepToTheirLimits reads bodies of stated and unknown length against
// the declared limit and the budget: over the limit is final, over what is left
// of the budget may come back, and a call gives back what it took.
func TestBodiesKeepToTheirLimits(t *testing.T) {
	for _, known := range []bool{true, false} {
		m := newBodyMemory(4 * 1000)
		for _, step := range []struct {
			name         string
			bytes, taken int
			limit        int64
			status       int
		}{
			{"fits", 400, 0, 500, 0},
			{"over the declared limit", 501, 0, 500, http.StatusRequestEntityTooLarge},
			{"over the whole budget", 1001, 0, 5000, http.StatusRequestEntityTooLarge},
			{"over what is left", 400, 700, 500, http.StatusServiceUnavailable},
			{"no declared limit", 900, 0, 0, 0},
		} {
			m.take(int64(step.taken))
			k := upload(step.bytes, known)
			err := k.readBody(m, step.limit)
			if got := verdict.As(err).Status; (err != nil || step.status != 0) && got != step.status {
				t.Errorf("%s, length known %v: %v, want status %d", step.name, known, err, step.status)
			}
			if err == nil && len(k.body) != step.bytes {
				t.Errorf("%s: %d of %d bytes were read", step.name, len(k.body), step.bytes)
			}
			m.give(k.held + int64(step.taken))
			if m.free != m.all {
				t.Errorf("%s, length known %v: %d of %d bytes are left", step.name, known, m.free, m.all)
			}
		}
	}
}

// TestCutBodyIsTheCallersFault reads a body whose connection breaks.
func TestCutBodyIsTheCallersFault(t *testing.T) {
	k := upload(10, false)
	k.request.Body = io.NopCloser(iotest.ErrReader(errors.New("reset")))
	if err := k.readBody(newBodyMemory(0), 0); verdict.As(err).Status != http.StatusBadRequest {
		t.Errorf("a cut body ended as %v", err)
	}
}

// TestHeaderKeepsToItsLimit counts the header's bytes as they are sent.
func TestHeaderKeepsToItsLimit(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/path", nil)
	r.Header.Set("X-Long", strings.Repeat("x", 1000))
	if err := checkHeader(r, 1100); err != nil {
		t.Errorf("a header of about 1,040 bytes was refused: %v", err)
	}
	if err := checkHeader(r, 1000); verdict.As(err).Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header over its limit ended as %v", err)
	}
	if err := checkHeader(r, 0); err != nil {
		t.Errorf("without a limit: %v", err)
	}
}

// TestTimeoutsFollowTheConfiguration holds that declared timeouts take the place
// of the entry's own.
func TestTimeoutsFollowTheConfiguration(t *testing.T) {
	v := newView(nil, nil)
	if got := v.timeouts(); got != (serving.Timeouts{Header: headerTimeout, Idle: idleTimeout}) {
		t.Errorf("without a configuration: %+v", got)
	}
	v.index = route.NewIndex(&route.Configuration{Limits: route.CallerLimits{
		HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}})
	if got := v.timeouts(); got != (serving.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}) {
		t.Errorf("declared as 3 s and 15 s: %+v", got)
	}
}
