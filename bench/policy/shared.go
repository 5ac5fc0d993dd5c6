package policy

import (
	"slices"
	"time"
)

// Bytes of messages between entries.
const (
	reportBytes = 120
	countBytes  = 45
	grantBytes  = 150
)

// shared is best of six by own counts and by raw copies of the other entries'
// counts, without limits, fading or admission.
type shared struct {
	simple

	period time.Duration
	copies [][][]int // by receiver, teller and server
	sums   [][]int   // by receiver and server
	told   [][]int   // by teller and server
}

// Shared exchanges counts within a region once in each period.
func Shared(period time.Duration) Policy { return &shared{period: period} }

// Start starts the exchange.
func (s *shared) Start(w *World) {
	n := w.Layout.Entries
	for e := range n {
		s.copies = append(s.copies, make([][]int, n))
		s.sums = append(s.sums, make([]int, w.Layout.Servers))
		s.told = append(s.told, make([]int, w.Layout.Servers))
		for f := range n {
			s.copies[e][f] = make([]int, w.Layout.Servers)
		}
	}
	s.choose = func(*simple) chooser { return s.best }
	s.simple.Start(w)
	for e := range n {
		w.after(time.Duration(w.random.Int64N(int64(s.period))), func() { s.tell(e) })
	}
}

// best returns the least loaded of six random servers.
func (s *shared) best(r *request, servers []int) int {
	some := servers
	if len(some) > 6 {
		some = slices.Clone(servers)
		s.w.random.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		some = some[:6]
	}
	return s.least(some, func(i int) float64 {
		return float64(s.inFlight[r.entry][i] + s.sums[r.entry][i])
	})
}

// tell sends changed counts to the other entries of the region.
func (s *shared) tell(entry int) {
	s.w.after(s.period, func() { s.tell(entry) })
	counts := slices.Clone(s.inFlight[entry])
	changed := 0
	for i, n := range counts {
		if n != s.told[entry][i] {
			changed++
		}
	}
	if changed == 0 || s.w.cutNow() {
		return
	}
	s.told[entry] = counts
	for other := range s.w.Layout.Entries {
		if other == entry || s.w.zoneOf(other)/2 != s.w.zoneOf(entry)/2 {
			continue
		}
		s.w.message(entry, other, reportBytes+changed*countBytes, func() {
			for i, n := range counts {
				s.sums[other][i] += n - s.copies[other][entry][i]
				s.copies[other][entry][i] = n
			}
		})
	}
}

// owned sends every request by way of one entry of the region, which alone
// picks and so knows all counts at once.
type owned struct {
	simple
}

// Owned lets one owner in each region pick, one hop more.
func Owned() Policy { return &owned{} }

// Start prepares the counts, which live at the owners.
func (o *owned) Start(w *World) {
	o.choose = func(*simple) chooser { return nil }
	o.simple.Start(w)
}

// ownerOf returns the owner entry of a region.
func (o *owned) ownerOf(entry int) int { return o.w.zoneOf(entry) / 2 * 2 }

// Arrive forwards the request to the owner. Where the exchange is cut the entry
// picks by its own counts.
func (o *owned) Arrive(r *request) {
	owner := o.ownerOf(r.entry)
	if o.w.cutNow() {
		owner = r.entry
	}
	r.owner = owner
	o.w.message(r.entry, owner, grantBytes, func() {
		near := o.nearOf[r.entry]
		if len(near) == 0 {
			o.w.reject(r)
			return
		}
		to := o.least(near, func(i int) float64 { return float64(o.inFlight[owner][i]) })
		o.inFlight[owner][to]++
		entry := r.entry
		r.entry = owner
		o.w.send(r, to)
		r.entry = entry
	})
}

// Answered tells the owner.
func (o *owned) Answered(r *request, _ answer) {
	owner, server := r.owner, r.server
	o.w.message(r.entry, owner, grantBytes, func() { o.inFlight[owner][server]-- })
}

// leases lets entries hold the right to each slot and borrow it from each other.
type leases struct {
	w       *World
	free    [][]int // by entry: servers of which it holds an unused right
	waiting [][]*request
	asking  []bool
}

// rightsPerSlot is how many requests may be in progress for each slot.
const rightsPerSlot = 2

// Leases lets entries hold and borrow rights to slots.
func Leases() Policy { return &leases{} }

// Start deals the rights out within each region.
func (l *leases) Start(w *World) {
	l.w = w
	l.free = make([][]int, w.Layout.Entries)
	l.waiting = make([][]*request, w.Layout.Entries)
	l.asking = make([]bool, w.Layout.Entries)
	next := map[int]int{}
	for right := range rightsPerSlot * w.Layout.Slots {
		for i := range w.servers {
			region := w.zoneOf(i) / 2
			entries := l.regionEntries(region)
			e := entries[(next[region]+right)%len(entries)]
			next[region]++
			l.free[e] = append(l.free[e], i)
		}
	}
}

// regionEntries returns the entries of a region.
func (l *leases) regionEntries(region int) []int {
	var all []int
	for e := range l.w.Layout.Entries {
		if l.w.zoneOf(e)/2 == region {
			all = append(all, e)
		}
	}
	return all
}

// Members does nothing: rights of a server that left are skipped when used.
func (l *leases) Members() {}

// Arrive sends the request on a held right or waits for one.
func (l *leases) Arrive(r *request) {
	l.waiting[r.entry] = append(l.waiting[r.entry], r)
	l.serve(r.entry)
}

// serve sends waiting requests while there are rights. It prefers the server of
// which most rights are free, which is likely the least loaded.
func (l *leases) serve(e int) {
	for len(l.waiting[e]) > 0 {
		at := l.bestRight(e)
		if at < 0 {
			l.borrow(e)
			return
		}
		to := l.free[e][at]
		l.free[e] = slices.Delete(l.free[e], at, at+1)
		r := l.waiting[e][0]
		l.waiting[e] = l.waiting[e][1:]
		if l.w.now > r.deadline {
			l.free[e] = append(l.free[e], to)
			l.w.reject(r)
			continue
		}
		l.w.send(r, to)
	}
}

// bestRight returns the position of the best free right, or -1.
func (l *leases) bestRight(e int) int {
	count := map[int]int{}
	for _, s := range l.free[e] {
		count[s]++
	}
	best := -1
	for at, s := range l.free[e] {
		if l.w.left[s] || l.w.servers[s].announcedCold {
			continue
		}
		if best < 0 || count[s] > count[l.free[e][best]] {
			best = at
		}
	}
	return best
}

// borrow asks the entry of the region with the most free rights for half.
func (l *leases) borrow(e int) {
	if l.asking[e] || l.w.cutNow() {
		return
	}
	richest, most := -1, 0
	for _, other := range l.regionEntries(l.w.zoneOf(e) / 2) {
		if len(l.free[other]) > most && other != e {
			richest, most = other, len(l.free[other])
		}
	}
	if richest < 0 {
		return
	}
	l.asking[e] = true
	l.w.message(e, richest, grantBytes, func() {
		n := (len(l.free[richest]) + 1) / 2
		given := slices.Clone(l.free[richest][:n])
		l.free[richest] = l.free[richest][n:]
		l.w.message(richest, e, grantBytes, func() {
			l.asking[e] = false
			l.free[e] = append(l.free[e], given...)
			l.serve(e)
		})
	})
}

// Answered gives the right back to the entry that used it.
func (l *leases) Answered(r *request, _ answer) {
	l.free[r.entry] = append(l.free[r.entry], r.server)
	for e := range l.free {
		if e == r.entry || len(l.waiting[e]) > 0 {
			l.serve(e)
		}
	}
}
