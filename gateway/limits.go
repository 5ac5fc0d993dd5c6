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

// The limits of the memory for request bodies and of the size of headers.
const (
	// bodyMemoryDivisor sets the part of the host's memory that held bodies may
	// use, one divided by it: responses, connections and the process itself need
	// the rest.
	bodyMemoryDivisor = 4
	// defaultBodyMemory bounds the held bodies if the size of the host's memory is
	// not known, in bytes.
	defaultBodyMemory = 64 << 20
	// headerLineOverhead is the length of a header line without its name and
	// value, in bytes.
	headerLineOverhead = len(": \r\n")
)

// limits returns the callers' limits in force. A zero value means no limit.
func (v *view) limits() route.CallerLimits {
	if x := v.configuration(); x != nil {
		return x.Configuration().Limits
	}
	return route.CallerLimits{}
}

// timeouts returns the timeouts of callers' connections: the declared ones, or
// the defaults.
func (v *view) timeouts() serving.Timeouts {
	t := serving.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	l := v.limits()
	if l.HeaderTimeout > 0 {
		t.Header = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		t.Idle = l.IdleTimeout
	}
	return t
}

// checkHeader returns an error if the header has more bytes than the limit
// allows. Zero means no limit.
func checkHeader(r *http.Request, limit int64) error {
	if limit <= 0 {
		return nil
	}
	total := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + headerLineOverhead)
	for name, values := range r.Header {
		for _, value := range values {
			total += int64(len(name) + len(value) + headerLineOverhead)
		}
	}
	if total <= limit {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
		"the header has %d bytes, at most %d are allowed", total, limit)
}

// bodyBudget limits the memory of all request bodies that are held, in bytes. It
// is safe for concurrent use.
type bodyBudget struct {
	mu          sync.Mutex
	total, free int64
}

// newBodyBudget returns the budget of a host. hostMemory is the size of its
// memory in bytes, or 0 if that is not known.
func newBodyBudget(hostMemory int64) *bodyBudget {
	total := hostMemory / bodyMemoryDivisor
	if total <= 0 {
		total = defaultBodyMemory
	}
	return &bodyBudget{total: total, free: total}
}

// reserve takes n bytes from the budget. It returns false, and takes none, if
// fewer are free.
func (b *bodyBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

// release returns n bytes to the budget.
func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// bodyTooLarge returns the error for a body over its limit, in bytes.
func bodyTooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large",
		"the body has more than %d bytes", limit)
}

// bodyBudgetExhausted returns the error for a body that the rest of the budget
// can't hold.
func bodyBudgetExhausted() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory",
		"the memory for request bodies is exhausted")
}

// readBody reads the body before the broker is asked for a server, so that a slow
// upload occupies no slot. A body over its limit, or over the whole budget, is
// refused permanently; one for which the budget is exhausted may be retried.
func (k *callerRequest) readBody(budget *bodyBudget, limit int64) error {
	if k.request.ContentLength == 0 {
		return nil
	}
	if limit <= 0 || limit > budget.total {
		limit = budget.total
	}
	if k.request.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if n := k.request.ContentLength; n > 0 {
		if !budget.reserve(n) {
			return bodyBudgetExhausted()
		}
		k.heldBytes = n
	}
	body, err := io.ReadAll(&budgetReader{request: k, budget: budget, limit: limit})
	if err != nil {
		if verdictErr := (*verdict.Error)(nil); errors.As(err, &verdictErr) {
			return err
		}
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_cut", "read the request body")
	}
	k.body = body
	return nil
}

// budgetReader reads a body and reserves bytes beyond its declared length from
// the budget.
type budgetReader struct {
	request   *callerRequest
	budget    *bodyBudget
	limit     int64
	readBytes int64
}

// Read reads from the caller's request body. It returns an error once the body
// exceeds its limit or the budget.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.request.request.Body.Read(p)
	r.readBytes += int64(n)
	if r.readBytes > r.limit {
		return n, bodyTooLarge(r.limit)
	}
	if excess := r.readBytes - r.request.heldBytes; excess > 0 {
		if !r.budget.reserve(excess) {
			return n, bodyBudgetExhausted()
		}
		r.request.heldBytes += excess
	}
	return n, err
}
