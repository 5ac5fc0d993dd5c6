package gateway

import (
	"cmp"
	"slices"
	"time"
)

// need is what a request in progress still needs before its caller has the response.
type need struct {
	// receive and send are the bytes of its body that must still be received and sent, and write those of the
	// response that must still be written.
	receive, send, write int64
	// openEnded says that more bytes may come than are known, since the caller declared no length.
	openEnded bool
	// responseTime is expected from the last byte that is sent to a backend server to the last one of its response.
	responseTime time.Duration
	// limit is the time after which the request ends in any case.
	limit time.Duration
	// passedOn says that a backend server may have a part of it, so that it can't be refused as
	// not run any more.
	passedOn bool
	// kept says that an earlier plan has kept it.
	kept bool
}

// bytes returns how many bytes must still be transferred.
func (n need) bytes() int64 { return n.receive + n.send + n.write }

// rank orders requests by their claim to the rest of the time: those first that can't be refused
// any more, and last those whose end isn't known.
func (n need) rank() int {
	switch {
	case n.passedOn:
		return 0
	case n.openEnded:
		return 3
	case n.kept:
		return 1
	default:
		return 2
	}
}

// unanswerable returns the indices of the requests that a stopping entry must refuse, because their
// responses, together with those of the others, are not expected within the time left. Of equal rank, the requests
// that need least are kept, so that most are answered. rate is the bandwidth for bodies in bytes per second; 0 if
// transfers take no time.
func unanswerable(needs []need, left time.Duration, rate float64) []int {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(needs[a].rank(), needs[b].rank()), cmp.Compare(needs[a].bytes(), needs[b].bytes()))
	})
	var refused []int
	// Bodies share the link, so that any of those which are kept may be the last to be transferred.
	bytes, responseTime := int64(0), time.Duration(0)
	for _, i := range order {
		n := needs[i]
		slowest := responseTime
		if n.limit > left {
			slowest = max(responseTime, n.responseTime)
		}
		if !n.passedOn && n.limit > left && transferTime(bytes+n.bytes(), rate)+slowest > left {
			refused = append(refused, i)
			continue
		}
		if n.bytes() > 0 {
			bytes, responseTime = bytes+n.bytes(), slowest
		}
	}
	return refused
}

// transferTime returns how long bytes take at a rate in bytes per second; 0 if the rate isn't known.
func transferTime(bytes int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
