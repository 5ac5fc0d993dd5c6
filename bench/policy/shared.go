package policy

import (
	"slices"
	"time"
)

// Sizes of messages between entries, in bytes.
const (
	reportHeaderBytes = 120
	reportItemBytes   = 45
	coordinationBytes = 150
)

// sharedCounts chooses the least loaded of six random servers. The load of a server
// is the entry's own count of requests in progress plus the last counts received from
// the other entries. There are no limits, no aging of counts and no admission control.
type sharedCounts struct {
	localPolicy

	period     time.Duration
	peerCounts [][][]int // by receiver, sender and server
	peerSums   [][]int   // by receiver and server
	lastSent   [][]int   // by sender and server
}

// SharedCounts returns a policy whose entries exchange their counts of requests in
// progress within a region once in each period.
func SharedCounts(period time.Duration) Policy { return &sharedCounts{period: period} }

// Start schedules the exchange of counts.
func (s *sharedCounts) Start(sim *Simulation) {
	n := sim.Layout.Entries
	for e := range n {
		s.peerCounts = append(s.peerCounts, make([][]int, n))
		s.peerSums = append(s.peerSums, make([]int, sim.Layout.Servers))
		s.lastSent = append(s.lastSent, make([]int, sim.Layout.Servers))
		for f := range n {
			s.peerCounts[e][f] = make([]int, sim.Layout.Servers)
		}
	}
	s.newChooser = func(*localPolicy) chooser { return s.leastOfSix }
	s.localPolicy.Start(sim)
	for e := range n {
		sim.after(time.Duration(sim.random.Int64N(int64(s.period))), func() { s.sendCounts(e) })
	}
}

// leastOfSix returns the least loaded of six random servers.
func (s *sharedCounts) leastOfSix(r *request, servers []int) int {
	sample := servers
	if len(sample) > 6 {
		sample = slices.Clone(servers)
		s.sim.random.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
		sample = sample[:6]
	}
	return s.least(sample, func(i int) float64 {
		return float64(s.inFlight[r.entry][i] + s.peerSums[r.entry][i])
	})
}

// sendCounts sends changed counts to the other entries of the region.
func (s *sharedCounts) sendCounts(entry int) {
	s.sim.after(s.period, func() { s.sendCounts(entry) })
	counts := slices.Clone(s.inFlight[entry])
	changed := 0
	for i, n := range counts {
		if n != s.lastSent[entry][i] {
			changed++
		}
	}
	if changed == 0 || s.sim.exchangeIsCut() {
		return
	}
	s.lastSent[entry] = counts
	for other := range s.sim.Layout.Entries {
		if other == entry || s.sim.zoneOf(other)/2 != s.sim.zoneOf(entry)/2 {
			continue
		}
		s.sim.message(entry, other, reportHeaderBytes+changed*reportItemBytes, func() {
			for i, n := range counts {
				s.peerSums[other][i] += n - s.peerCounts[other][entry][i]
				s.peerCounts[other][entry][i] = n
			}
		})
	}
}

// ownerPicks forwards every request to one owner entry of the region, which chooses
// the server and therefore has the counts of the whole region without delay.
type ownerPicks struct {
	localPolicy
}

// OwnerPicks returns a policy in which one entry of each region chooses all servers,
// at the cost of one more hop.
func OwnerPicks() Policy { return &ownerPicks{} }

// Start initializes the counts, which the owners keep.
func (o *ownerPicks) Start(sim *Simulation) {
	o.newChooser = func(*localPolicy) chooser { return nil }
	o.localPolicy.Start(sim)
}

// ownerOf returns the owner entry of a region.
func (o *ownerPicks) ownerOf(entry int) int { return o.sim.zoneOf(entry) / 2 * 2 }

// RequestArrived forwards the request to the owner. While the exchange is cut, the
// entry chooses the server by its own counts.
func (o *ownerPicks) RequestArrived(r *request) {
	owner := o.ownerOf(r.entry)
	if o.sim.exchangeIsCut() {
		owner = r.entry
	}
	r.owner = owner
	o.sim.message(r.entry, owner, coordinationBytes, func() {
		candidates := o.candidates[r.entry]
		if len(candidates) == 0 {
			o.sim.reject(r)
			return
		}
		to := o.least(candidates, func(i int) float64 { return float64(o.inFlight[owner][i]) })
		o.inFlight[owner][to]++
		entry := r.entry
		r.entry = owner
		o.sim.send(r, to)
		r.entry = entry
	})
}

// RequestEnded reports the end of the request to the owner.
func (o *ownerPicks) RequestEnded(r *request, _ answer) {
	owner, server := r.owner, r.server
	o.sim.message(r.entry, owner, coordinationBytes, func() { o.inFlight[owner][server]-- })
}

// slotLeases gives each entry leases of server slots. Entries without a free lease
// borrow from each other.
type slotLeases struct {
	sim           *Simulation
	freeLeases    [][]int // by entry: the server of each unused lease
	waiting       [][]*request
	borrowPending []bool
}

// leasesPerSlot is the maximum number of requests in progress for each slot.
const leasesPerSlot = 2

// SlotLeases returns a policy in which entries hold and borrow leases of slots.
func SlotLeases() Policy { return &slotLeases{} }

// Start distributes the leases among the entries of each region.
func (l *slotLeases) Start(sim *Simulation) {
	l.sim = sim
	l.freeLeases = make([][]int, sim.Layout.Entries)
	l.waiting = make([][]*request, sim.Layout.Entries)
	l.borrowPending = make([]bool, sim.Layout.Entries)
	next := map[int]int{}
	for round := range leasesPerSlot * sim.Layout.Slots {
		for i := range sim.servers {
			region := sim.zoneOf(i) / 2
			entries := l.regionEntries(region)
			e := entries[(next[region]+round)%len(entries)]
			next[region]++
			l.freeLeases[e] = append(l.freeLeases[e], i)
		}
	}
}

// regionEntries returns the entries of a region.
func (l *slotLeases) regionEntries(region int) []int {
	var all []int
	for e := range l.sim.Layout.Entries {
		if l.sim.zoneOf(e)/2 == region {
			all = append(all, e)
		}
	}
	return all
}

// MembersChanged does nothing because bestLease skips the leases of servers that
// left.
func (l *slotLeases) MembersChanged() {}

// RequestArrived sends the request if the entry has a free lease, otherwise queues it.
func (l *slotLeases) RequestArrived(r *request) {
	l.waiting[r.entry] = append(l.waiting[r.entry], r)
	l.startWaiting(r.entry)
}

// startWaiting sends waiting requests while the entry has free leases. It prefers the
// server with the most free leases, which is likely the least loaded.
func (l *slotLeases) startWaiting(e int) {
	for len(l.waiting[e]) > 0 {
		lease := l.bestLease(e)
		if lease < 0 {
			l.borrow(e)
			return
		}
		to := l.freeLeases[e][lease]
		l.freeLeases[e] = slices.Delete(l.freeLeases[e], lease, lease+1)
		r := l.waiting[e][0]
		l.waiting[e] = l.waiting[e][1:]
		if l.sim.now > r.deadline {
			l.freeLeases[e] = append(l.freeLeases[e], to)
			l.sim.reject(r)
			continue
		}
		l.sim.send(r, to)
	}
}

// bestLease returns the index of the best free lease, or -1.
func (l *slotLeases) bestLease(e int) int {
	freeByServer := map[int]int{}
	for _, s := range l.freeLeases[e] {
		freeByServer[s]++
	}
	best := -1
	for i, s := range l.freeLeases[e] {
		if l.sim.knownLeaving[s] || l.sim.servers[s].announcedCold {
			continue
		}
		if best < 0 || freeByServer[s] > freeByServer[l.freeLeases[e][best]] {
			best = i
		}
	}
	return best
}

// borrow requests half of the free leases of the entry that has the most in the
// region.
func (l *slotLeases) borrow(e int) {
	if l.borrowPending[e] || l.sim.exchangeIsCut() {
		return
	}
	lender, most := -1, 0
	for _, other := range l.regionEntries(l.sim.zoneOf(e) / 2) {
		if len(l.freeLeases[other]) > most && other != e {
			lender, most = other, len(l.freeLeases[other])
		}
	}
	if lender < 0 {
		return
	}
	l.borrowPending[e] = true
	l.sim.message(e, lender, coordinationBytes, func() {
		half := (len(l.freeLeases[lender]) + 1) / 2
		borrowed := slices.Clone(l.freeLeases[lender][:half])
		l.freeLeases[lender] = l.freeLeases[lender][half:]
		l.sim.message(lender, e, coordinationBytes, func() {
			l.borrowPending[e] = false
			l.freeLeases[e] = append(l.freeLeases[e], borrowed...)
			l.startWaiting(e)
		})
	})
}

// RequestEnded returns the lease to the entry that used it.
func (l *slotLeases) RequestEnded(r *request, _ answer) {
	l.freeLeases[r.entry] = append(l.freeLeases[r.entry], r.server)
	for e := range l.freeLeases {
		if e == r.entry || len(l.waiting[e]) > 0 {
			l.startWaiting(e)
		}
	}
}
