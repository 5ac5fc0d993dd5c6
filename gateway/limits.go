package gateway

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// The limits of callers until a configuration declares others.
const (
	// bodyShare is the part of the host's memory that held bodies may take: the
	// answers, the connections and the process itself need the rest.
	bodyShare = 4
	// usualBodyMemory bounds the held bodies where the host's memory is not
	// known, in bytes.
	usualBodyMemory = 64 << 20
	// headerLineExtra counts the bytes of a header line beside its name and value.
	headerLineExtra = len(": \r\n")
)

// limits returns the callers' limits in force; zero values bound nothing.
func (v *view) limits() route.CallerLimits {
	if x := v.configuration(); x != nil {
		return x.Configuration().Limits
	}
	return route.CallerLimits{}
}

// timeouts returns the timeouts of callers' connections in force.
func (v *view) timeouts() serving.Timeouts {
	t := serving.Timeouts{Header: headerTimeout, Idle: idleTimeout}
	l := v.limits()
	if l.HeaderTimeout > 0 {
		t.Header = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		t.Idle = l.IdleTimeout
	}
	return t
}

// checkHeader refuses a request whose header is over its limit.
func checkHeader(r *http.Request, limit int64) error {
	if limit <= 0 {
		return nil
	}
	total := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + headerLineExtra)
	for name, values := range r.Header {
		for _, value := range values {
			total += int64(len(name) + len(value) + headerLineExtra)
		}
	}
	if total <= limit {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
		"the header has %d bytes, at most %d are allowed", total, limit)
}

// bodyMemory bounds the bytes of all bodies that are held. It is safe for
// concurrent use.
type bodyMemory struct {
	mu        sync.Mutex
	all, free int64
}

// newBodyMemory returns the budget of a host; memory is its size in bytes, 0 if
// that is not known.
func newBodyMemory(memory int64) *bodyMemory {
	all := memory / bodyShare
	if all <= 0 {
		all = usualBodyMemory
	}
	return &bodyMemory{all: all, free: all}
}

// take takes bytes of the budget and reports false if they aren't left.
func (m *bodyMemory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

// give returns bytes to the budget.
func (m *bodyMemory) give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}

// tooLarge is the error for a body over its limit.
func tooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large",
		"the body has more than %d bytes", limit)
}

// noMemory is the error for a body that has no room among the held ones now.
func noMemory() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory",
		"the bodies that are held leave no room for this one")
}

// readBody reads the body before anything is asked of others, so that a slow
// upload holds no slot. A body that is over its limit, or over the whole budget,
// is refused for good; one that finds no room now may come back.
func (k *call) readBody(m *bodyMemory, limit int64) error {
	if k.request.ContentLength == 0 {
		return nil
	}
	if limit <= 0 || limit > m.all {
		limit = m.all
	}
	if k.request.ContentLength > limit {
		return tooLarge(limit)
	}
	if n := k.request.ContentLength; n > 0 {
		if !m.take(n) {
			return noMemory()
		}
		k.held = n
	}
	body, err := io.ReadAll(&heldReader{call: k, memory: m, limit: limit})
	if err != nil {
		if own := (*verdict.Error)(nil); errors.As(err, &own) {
			return err
		}
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_cut", "read the body")
	}
	k.body = body
	return nil
}

// heldReader reads a body and takes what goes beyond its stated length from the
// budget.
type heldReader struct {
	call   *call
	memory *bodyMemory
	limit  int64
	read   int64
}

// Read reads from the caller.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.call.request.Body.Read(p)
	r.read += int64(n)
	if r.read > r.limit {
		return n, tooLarge(r.limit)
	}
	if more := r.read - r.call.held; more > 0 {
		if !r.memory.take(more) {
			return n, noMemory()
		}
		r.call.held += more
	}
	return n, err
}
