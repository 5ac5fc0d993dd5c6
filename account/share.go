package account

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// The times of shares.
const (
	// ShareLifetime is how long an entry without a broker may use its share.
	ShareLifetime = 5 * time.Second
	// lossDetection is the longest time by which an entry and a broker can differ about when their
	// connection was lost: the silence after which it is closed, and a ping.
	lossDetection = 2500 * time.Millisecond
)

// The parts of shares.
const (
	// minShare is the share, in requests, of an entry that has had any request of the account, beyond
	// what it had lately.
	minShare = 2
	// useDecay is the weight of the past in an entry's use, at each plan.
	useDecay = 0.85
	// minUse is the least use that is remembered.
	minUse = 0.1
)

// Shares divides among entries the requests in a window that they may let through without a broker.
// The shares that exist at any moment, also those of lost entries, never sum above the total. It is not
// safe for concurrent use.
type Shares struct {
	window time.Duration
	total  int
	// held are the shares of connected entries, and used their recent requests.
	held map[string]int
	used map[string]float64
	// reserved are the shares that may still be in use, or whose requests count still.
	reserved []reservedShare
}

// reservedShare is a share that was taken away from an entry, or one of an earlier broker; then the entry
// has no name.
type reservedShare struct {
	entry string
	size  int
	until time.Time
}

// NewShares returns shares with a total. The broker before may have handed out all of it.
func NewShares(b Bounds, total int, now time.Time) *Shares {
	s := &Shares{window: b.Window, total: total, held: map[string]int{}, used: map[string]float64{}}
	s.reserve("", total, now)
	return s
}

// SetTotal changes the total.
func (s *Shares) SetTotal(total int) { s.total = total }

// reserve keeps a share from being handed out until nobody uses it and its requests no longer count.
func (s *Shares) reserve(entry string, size int, now time.Time) {
	if size > 0 {
		s.reserved = append(s.reserved, reservedShare{entry, size, now.Add(ShareLifetime + s.window + lossDetection)})
	}
}

// Use records a request of an entry.
func (s *Shares) Use(entry string) { s.used[entry]++ }

// Adopt records the share that an entry says that it holds. What an earlier connection left it beyond that
// may have been used.
func (s *Shares) Adopt(entry string, share int, now time.Time) {
	known := s.held[entry]
	s.reserved = slices.DeleteFunc(s.reserved, func(r reservedShare) bool {
		if r.entry == entry {
			known += r.size
		}
		return r.entry == entry
	})
	for n := range s.reserved {
		if r := &s.reserved[n]; r.entry == "" {
			r.size = max(0, r.size-max(0, share-known))
			break
		}
	}
	s.reserve(entry, known-share, now)
	s.held[entry] = share
	s.used[entry] = max(s.used[entry], float64(share-minShare))
}

// Lose records that the connection to an entry was lost.
func (s *Shares) Lose(entry string, now time.Time) {
	s.reserve(entry, s.held[entry], now)
	delete(s.held, entry)
	delete(s.used, entry)
}

// free returns how much of the total may be handed out.
func (s *Shares) free(now time.Time) int {
	s.reserved = slices.DeleteFunc(s.reserved, func(r reservedShare) bool { return r.size == 0 || !now.Before(r.until) })
	free := s.total
	for _, r := range s.reserved {
		free -= r.size
	}
	for _, n := range s.held {
		free -= n
	}
	return free
}

// Plan divides the total by what the entries had lately, and returns the shares that have changed. An
// entry keeps a share that is nearly right, since what is taken away rests for a while.
func (s *Shares) Plan(now time.Time) map[string]int {
	if len(s.used) == 0 && len(s.held) == 0 {
		return nil
	}
	changes := map[string]int{}
	wanted := s.wanted()
	for entry, n := range s.held {
		if want := wanted[entry]; n > want+max(1, n/4) || n > 0 && want == 0 {
			s.reserve(entry, n-want, now)
			s.held[entry], changes[entry] = want, want
		}
	}
	free := s.free(now)
	names := slices.SortedFunc(maps.Keys(wanted), func(a, b string) int { return cmp.Or(cmp.Compare(s.used[b], s.used[a]), cmp.Compare(a, b)) })
	for _, entry := range names {
		if more := min(wanted[entry]-s.held[entry], free); more > 0 {
			free -= more
			s.held[entry] += more
			changes[entry] = s.held[entry]
		}
	}
	for entry, use := range s.used {
		if s.used[entry] = use * useDecay; s.used[entry] < minUse {
			delete(s.used, entry)
		}
	}
	maps.DeleteFunc(s.held, func(_ string, n int) bool { return n == 0 })
	return changes
}

// wanted returns the shares by use, rounded up.
func (s *Shares) wanted() map[string]int {
	sum := 0.0
	for _, use := range s.used {
		sum += use
	}
	wanted := make(map[string]int, len(s.used))
	for entry, use := range s.used {
		wanted[entry] = int(min(math.Ceil(float64(s.total)*use/sum), minShare+math.Ceil(use)))
	}
	return wanted
}

// Allowance is the share of one entry. It is not safe for concurrent use.
type Allowance struct {
	// Share is the number of requests that the entry may let through in a window without a broker.
	Share int
	sent  []time.Duration
}

// Take takes one request of the share at a time of a clock that counts suspensions, and reports whether
// it was allowed.
func (a *Allowance) Take(window, now time.Duration) bool {
	if a.count(window, now) >= a.Share {
		return false
	}
	a.sent = append(a.sent, now)
	return true
}

// Idle reports whether there is no share, and no request of an earlier one counts any more.
func (a *Allowance) Idle(window, now time.Duration) bool {
	return a.Share == 0 && a.count(window, now) == 0
}

// count returns how many requests were taken within the window.
func (a *Allowance) count(window, now time.Duration) int {
	a.sent = slices.DeleteFunc(a.sent, func(at time.Duration) bool { return now-at > window })
	return len(a.sent)
}
