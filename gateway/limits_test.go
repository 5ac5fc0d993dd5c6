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

	"tanagerbarrow/bodybuf"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// newUpload returns a request with a body of the given size. If its length is not
// known beforehand it is sent in chunks.
func newUpload(bytes int, known bool) *callerRequest {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bytes)))
	if !known {
		r.ContentLength = -1
	}
	return &callerRequest{request: r}
}

// requestBudget returns a budget that leaves the given number of bytes to request
// bodies.
func requestBudget(bytes int64) *bodybuf.Budget {
	return newHeldBodies(bytes * heldMemoryDivisor * responseShareDivisor / (responseShareDivisor - 1))
}

// take reserves bytes of a budget and returns the function that releases them.
func take(t *testing.T, budget *bodybuf.Budget, bytes int) func() {
	t.Helper()
	body, err := budget.Read(strings.NewReader(strings.Repeat("x", bytes)), int64(bytes), bodybuf.Limits{MaxBytes: int64(bytes)})
	if err != nil {
		t.Fatal(err)
	}
	return body.Release
}

// TestBodiesKeepToTheirLimits reads bodies of declared and unknown length. A body
// over the declared limit or the whole budget is refused permanently, one over
// the rest of the budget may be retried, and a request releases what it reserved.
func TestBodiesKeepToTheirLimits(t *testing.T) {
	for _, known := range []bool{true, false} {
		budget := requestBudget(1000)
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
			release := take(t, budget, step.taken)
			k := newUpload(step.bytes, known)
			err := k.readBody(t.Context(), budget, step.limit, nil)
			if got := verdict.As(err).Status; (err != nil || step.status != 0) && got != step.status {
				t.Errorf("%s, length known %v: %v, want status %d", step.name, known, err, step.status)
			}
			if err == nil && k.body.Len() != step.bytes {
				t.Errorf("%s: read %d of %d bytes", step.name, k.body.Len(), step.bytes)
			}
			k.releaseBodies()
			release()
			if budget.Free() != budget.Total() {
				t.Errorf("%s, length known %v: %d of %d bytes are free", step.name, known, budget.Free(), budget.Total())
			}
		}
	}
}

// TestTruncatedBodyIsBadRequest reads a body whose connection breaks.
func TestTruncatedBodyIsBadRequest(t *testing.T) {
	k := newUpload(10, false)
	k.request.Body = io.NopCloser(iotest.ErrReader(errors.New("reset")))
	if err := k.readBody(t.Context(), newHeldBodies(0), 0, nil); verdict.As(err).Status != http.StatusBadRequest {
		t.Errorf("a truncated body returned %v", err)
	}
}

// TestHeaderKeepsToItsLimit checks that the header's size is that on the wire.
func TestHeaderKeepsToItsLimit(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/path", nil)
	r.Header.Set("X-Long", strings.Repeat("x", 1000))
	if err := checkHeader(r, 1100); err != nil {
		t.Errorf("a header of about 1,040 bytes was refused: %v", err)
	}
	if err := checkHeader(r, 1000); verdict.As(err).Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header over its limit returned %v", err)
	}
	if err := checkHeader(r, 0); err != nil {
		t.Errorf("without a limit: %v", err)
	}
}

// TestTimeoutsFollowTheConfiguration checks that declared timeouts replace the
// defaults.
func TestTimeoutsFollowTheConfiguration(t *testing.T) {
	v := newView(nil, nil)
	if got := v.timeouts(); got != (serving.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}) {
		t.Errorf("without a configuration: %+v", got)
	}
	v.index = route.NewIndex(&route.Configuration{Limits: route.CallerLimits{
		HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}})
	if got := v.timeouts(); got != (serving.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}) {
		t.Errorf("declared as 3 s and 15 s: %+v", got)
	}
}
