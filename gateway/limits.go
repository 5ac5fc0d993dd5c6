package gateway

import (
	"net/http"

	"tanagerbarrow/bodybuf"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// The shares of the memory for held bodies, and the limit of headers.
const (
	// heldMemoryDivisor sets the part of the host's memory that held bodies may use,
	// one divided by it: connections and the process itself need the rest.
	heldMemoryDivisor = 3
	// responseShareDivisor sets the part of the budget that request bodies leave to
	// responses, one divided by it: a response that finds no memory is work that has
	// run in vain.
	responseShareDivisor = 4
	// defaultHeldMemory is the budget if the size of the host's memory is not known,
	// in bytes.
	defaultHeldMemory = 64 << 20
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

// newHeldBodies returns the budget of all bodies that a host holds. hostMemory is
// the size of its memory in bytes, or 0 if that is not known.
func newHeldBodies(hostMemory int64) *bodybuf.Budget {
	total := hostMemory / heldMemoryDivisor
	if total <= 0 {
		total = defaultHeldMemory
	}
	return bodybuf.NewBudget(total)
}

// requestBodyLimits returns the limits of a request body. declared is the maximum
// length that the configuration declares, or 0.
func requestBodyLimits(budget *bodybuf.Budget, declared int64) bodybuf.Limits {
	forResponses := budget.Total() / responseShareDivisor
	limit := budget.Total() - forResponses
	if declared > 0 {
		limit = min(limit, declared)
	}
	return bodybuf.Limits{MaxBytes: limit, LeaveFree: forResponses, ReserveDeclared: true}
}

// releaseBodies returns the memory of the request's body and of the responses to
// it.
func (k *callerRequest) releaseBodies() {
	for _, body := range k.held {
		body.Release()
	}
}
