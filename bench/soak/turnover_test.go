package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Timing of the replacement of control hosts and of the check that follows it.
const (
	// catchUpTime is the time after which a new control host is a full replica.
	catchUpTime = 3 * time.Second
	// applyTimeout is the longest time until an acknowledged configuration is in force at
	// all entries when the last fault is over.
	applyTimeout = 7 * time.Second
)

// turnoverPeriod makes every third seed replace all control hosts.
const turnoverPeriod = 3

// turnoverOrder is the order in which a run replaces its control hosts.
type turnoverOrder int

// The orders of replacement. All but amidFaults begin when the other faults are over.
const (
	leaderLast turnoverOrder = iota
	amidFaults
	leaderFirst
	turnoverOrders
)

// turnover replaces the control hosts of a run one after the other, until none of the first
// is left.
type turnover struct {
	h     *harness
	order turnoverOrder
	// remaining are the first hosts that still run.
	remaining []*process
}

// newTurnover returns the turnover of a run; most runs have none.
func newTurnover(h *harness) *turnover {
	r := &turnover{h: h, order: turnoverOrder(h.seed / turnoverPeriod % uint64(turnoverOrders))}
	if h.seed%turnoverPeriod == 0 {
		r.remaining = slices.Clone(h.processes[:controlCount])
	}
	return r
}

// due reports whether a host is to be replaced now.
func (r *turnover) due(random *rand.Rand, faultsOver bool) bool {
	return len(r.remaining) > 0 && (faultsOver || r.order == amidFaults && random.IntN(2) == 0)
}

// next chooses the host that is replaced next.
func (r *turnover) next() *process {
	if r.order != amidFaults {
		for _, p := range r.remaining {
			if r.h.leads(p) == (r.order == leaderFirst) {
				return p
			}
		}
	}
	return r.remaining[0]
}

// leads reports whether a control host runs the broker.
func (h *harness) leads(p *process) bool {
	h.mu.Lock()
	address := fmt.Sprintf("http://%s:%d/metrics", p.address, h.basePort+12)
	h.mu.Unlock()
	res, err := h.client.Get(address)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return err == nil && !strings.Contains(string(text), "\ntanagerbarrow_broker_term 0\n")
}

// replaceNext removes a control host for good, starts an empty one at another address and
// waits until it is a full replica. Some entries find new seeds in their settings, with or
// without a signal; the others must learn of the new host otherwise.
func (r *turnover) replaceNext() {
	h, p := r.h, r.next()
	r.remaining = slices.DeleteFunc(r.remaining, func(other *process) bool { return other == p })
	random := h.randomFor(uint64(100 + len(r.remaining)))
	h.signal(p, syscall.SIGKILL)
	<-p.done
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	h.mu.Lock()
	p.name += "-successor"
	p.address = fmt.Sprint(h.addressPrefix, 50+len(r.remaining))
	p.settings = filepath.Join(h.folder, p.name+".yaml")
	p.data = filepath.Join(h.folder, p.name)
	h.mu.Unlock()
	_ = os.Mkdir(p.data, 0o700)
	h.start(p, false)
	for _, entry := range h.processes[controlCount:] {
		switch random.IntN(4) {
		case 0:
			h.writeSettings(entry, false)
		case 1:
			h.writeSettings(entry, false)
			h.signal(entry, syscall.SIGHUP)
		}
	}
	h.sleepCalmly(catchUpTime)
}

// checkEntriesFollow declares a configuration without and one with a further route after the
// last fault, and checks that every entry applies both.
func (h *harness) checkEntriesFollow() {
	version := (h.ackedVersion + 2) &^ 1
	for _, want := range []int{http.StatusNotFound, http.StatusOK} {
		if !h.declare(version) {
			h.fail("CONFIG: version %d is not acknowledged after the last fault", version)
			return
		}
		acknowledged := time.Now()
		for n := range entryCount {
			status := 0
			for status != want && time.Since(acknowledged) < applyTimeout {
				status = h.sendExtra(n)
				time.Sleep(20 * time.Millisecond)
			}
			if status != want {
				h.fail("CONFIG: entry %d answers %d, want %d, %s after version %d was acknowledged", n, status, want, time.Since(acknowledged), version)
			}
		}
		version++
	}
}

// sendExtra sends a request on the route that only odd versions have and returns its status.
func (h *harness) sendExtra(entry int) int {
	p := h.processes[controlCount+entry]
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/extra/x", p.address, h.basePort+2), nil)
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request-Id", fmt.Sprintf("extra-%d-%d", entry, time.Now().UnixNano()))
	r.Header.Set("Deadline-Milliseconds", "1500")
	res, err := h.client.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
