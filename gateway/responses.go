package gateway

import (
	"sync"
	"time"
)

// The limits of responses. A response is buffered completely before it is sent to
// the caller, so that a truncated one can be retried or reported.
const (
	// maxResponseBytes bounds the body of a response, in bytes.
	maxResponseBytes = 32 << 20
	// minResponseLimit is the least limit of a response without a declared length,
	// in bytes.
	minResponseLimit = 256 << 10
	// usualResponseFactor is how many times as long as the longest complete response
	// of its service a response without a declared length may become.
	usualResponseFactor = 16
	// unusualLinkTime is for how long a response of unusual length may fill the
	// host's link.
	unusualLinkTime = time.Second
	// codeResponseMemory says that a response found no memory.
	codeResponseMemory = "response_memory"
)

// responseSizes limits the length of responses, so that one that does not end is
// given up soon: it fills the host's link and its memory. It is safe for concurrent
// use.
type responseSizes struct {
	// linkRate is the host's bandwidth in bytes per second; 0 if not known.
	linkRate int64

	mu        sync.Mutex
	byService map[string]*responseSize
}

// responseSize is what is known of the responses of a service.
type responseSize struct {
	// longest is the length of the longest complete response, in bytes.
	longest int64
	// minLimit is the least limit, in bytes.
	minLimit int64
	// exceededBy identifies the server whose response last exceeded the limit.
	exceededBy string
}

// newResponseSizes returns limits that know no response. linkRate is the host's
// bandwidth in bytes per second, or 0 if it is not known.
func newResponseSizes(linkRate int64) *responseSizes {
	return &responseSizes{linkRate: linkRate, byService: map[string]*responseSize{}}
}

// limit returns the maximum length of a response body, in bytes. A response that
// declares its length ends, so it may be as long as the link can transfer in the
// remaining time. declared is negative if it declares none.
func (s *responseSizes) limit(service string, declared int64, remaining time.Duration) int64 {
	if declared >= 0 {
		if s.linkRate == 0 {
			return maxResponseBytes
		}
		return min(maxResponseBytes, s.transferable(max(remaining, unusualLinkTime)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(service)
	return min(maxResponseBytes, max(known.minLimit, usualResponseFactor*known.longest))
}

// transferable returns how many bytes the link transfers in the given time.
func (s *responseSizes) transferable(d time.Duration) int64 {
	return int64(float64(s.linkRate) * d.Seconds())
}

// service returns what is known of a service. The caller holds the lock.
func (s *responseSizes) service(name string) *responseSize {
	known := s.byService[name]
	if known == nil {
		known = &responseSize{minLimit: maxResponseBytes}
		if s.linkRate > 0 {
			known.minLimit = max(minResponseLimit, s.transferable(unusualLinkTime))
		}
		s.byService[name] = known
	}
	return known
}

// recordComplete records the length of a complete response.
func (s *responseSizes) recordComplete(service string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(service)
	known.longest = max(known.longest, bytes)
}

// recordExceeded records that a response without a declared length exceeded its
// limit. If another server has exceeded it before, the service may have begun to
// send longer responses, and the limit doubles.
func (s *responseSizes) recordExceeded(service, serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(service)
	if known.exceededBy != "" && known.exceededBy != serverID {
		known.minLimit = min(maxResponseBytes, 2*max(known.minLimit, usualResponseFactor*known.longest))
		known.exceededBy = ""
		return
	}
	known.exceededBy = serverID
}
