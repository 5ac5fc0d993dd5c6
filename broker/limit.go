package broker

// LimitSource says which responses of a server named its request limit. Servers
// may name it in the responses to requests, in those to health checks, or in both.
type LimitSource uint8

// Sources of request limits.
const (
	// LimitFromRequests are the responses to callers' requests.
	LimitFromRequests LimitSource = 1 << iota
	// LimitFromChecks are the responses to health checks.
	LimitFromChecks
)

// String returns the name of a source in log lines.
func (s LimitSource) String() string {
	switch s {
	case LimitFromRequests:
		return "request"
	case LimitFromChecks:
		return "check"
	default:
		return "unknown"
	}
}

// LimitReport is what one response says about the rate of requests that its server
// takes.
type LimitReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Source is the kind of the response.
	Source LimitSource
	// Named says that the response named a limit; without one the server takes
	// requests at any rate.
	Named bool
	// PerSecond is the limit, in requests per second of all entries together.
	PerSecond float64
}

// RequestLimit is the rate of requests that a server takes from all entries
// together, as far as its responses named it. The zero value is no limit.
type RequestLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// PerSecond is the limit, in requests per second.
	PerSecond float64
	// Sources are the sources that named the limit; 0 without a limit.
	Sources LimitSource
}

// Limited reports whether there is a limit.
func (l RequestLimit) Limited() bool { return l.Sources != 0 }

// Update applies a report and reports whether the limit changed. A response without a
// limit withdraws it only if responses of its kind named it before.
func (l *RequestLimit) Update(r LimitReport) (changed bool) {
	switch {
	case r.Named:
		changed = !l.Limited() || l.PerSecond != r.PerSecond
		l.PerSecond = r.PerSecond
		l.Sources |= r.Source
	case l.Sources&r.Source != 0:
		*l = RequestLimit{}
		changed = true
	}
	return changed
}
