package gateway

import (
	"math"
	"sync"
	"time"
)

// An estimate is the smoothed mean and mean deviation of RFC 6298.
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
	// maxEstimates bounds the number of estimates; routes come and go.
	maxEstimates = 4096
)

// estimate is what is expected of a quantity that was observed.
type estimate struct {
	known           bool
	mean, deviation float64
}

// add adds an observation.
func (e *estimate) add(value float64) {
	if !e.known {
		*e = estimate{known: true, mean: value, deviation: value / 2}
		return
	}
	difference := value - e.mean
	e.mean += meanGain * difference
	e.deviation += deviationGain * (math.Abs(difference) - e.deviation)
}

// upper returns a value that few observations exceed.
func (e *estimate) upper() float64 { return e.mean + deviationFactor*e.deviation }

// requestKind is a service, and the route of the requests to it; an empty route for all.
type requestKind struct{ service, route string }

// requestEstimate is what is expected of a kind of request.
type requestEstimate struct {
	// responseTime is in seconds, from the last byte that is sent to a backend server to the last one of its
	// response. bodyBytes and responseBytes are the lengths of both bodies.
	responseTime, bodyBytes, responseBytes estimate
}

// expectation is what is expected of a request: the time of its response, and the usual lengths of its body and of
// the response; 0 if they aren't known.
type expectation struct {
	responseTime             time.Duration
	bodyBytes, responseBytes int64
}

// requestEstimates are what is expected of requests, by their kinds. It is safe for concurrent use.
type requestEstimates struct {
	mu   sync.Mutex
	kind map[requestKind]*requestEstimate
}

// newRequestEstimates returns estimates of nothing.
func newRequestEstimates() *requestEstimates {
	return &requestEstimates{kind: map[requestKind]*requestEstimate{}}
}

// record adds a request that was answered. A body of length 0 is none.
func (s *requestEstimates) record(kind requestKind, seen expectation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range []requestKind{kind, {service: kind.service}} {
		known := s.kind[k]
		if known == nil {
			if len(s.kind) >= maxEstimates {
				clear(s.kind)
			}
			known = &requestEstimate{}
			s.kind[k] = known
		}
		known.responseTime.add(seen.responseTime.Seconds())
		known.responseBytes.add(float64(seen.responseBytes))
		if seen.bodyBytes > 0 {
			known.bodyBytes.add(float64(seen.bodyBytes))
		}
	}
}

// expected returns what is expected of a request, with the given response time if nothing is known.
func (s *requestEstimates) expected(kind requestKind, responseTime time.Duration) expectation {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.kind[kind]
	if known == nil {
		known = s.kind[requestKind{service: kind.service}]
	}
	if known == nil {
		return expectation{responseTime: responseTime}
	}
	return expectation{
		responseTime: time.Duration(known.responseTime.upper() * float64(time.Second)),
		bodyBytes:    int64(known.bodyBytes.mean), responseBytes: int64(known.responseBytes.mean),
	}
}
