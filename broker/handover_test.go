package broker

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// handover is a service that passes from broker to broker. Entries reconnect
// one after the other and report the grants that they hold; heartbeats arrive
// in between.
type handover struct {
	*testBroker
	r *rapid.T
	// held are the running requests by grant, whichever broker granted them.
	held map[uint64]heldGrant
	// connected are the entries that have connected to the present broker.
	connected map[string]bool
	// coldGrantTimes are the times of all grants of the cold server.
	coldGrantTimes []time.Time
	brokers        uint64
}

// heldGrant is a running request.
type heldGrant struct{ entry, server string }

// handoverSlots is the number of slots of each server.
const handoverSlots = 2

// replaceBroker replaces the present broker by a new one, which starts with the
// announced servers and without entries.
func (h *handover) replaceBroker() {
	h.brokers++
	now := h.now
	h.testBroker = newTestBroker(h.t)
	h.now = now
	h.options.GrantIDBase, h.lastGrantID = h.brokers*1000, h.brokers*1000
	if h.brokers > 1 {
		h.options.ColdGrantsFrom = now.Add(1300 * time.Millisecond)
	}
	h.Disconnect("e1", now)
	h.Disconnect("e2", now)
	h.connected = map[string]bool{}
	h.announce("warm1", "a", 0)
	h.announce("warm2", "b", 0)
	h.announce("cold", "a", time.Hour)
}

// connect connects an entry and reports the grants that it holds.
func (h *handover) connect(entry string) {
	var held []HeldGrant
	for _, id := range slices.Sorted(maps.Keys(h.held)) {
		if h.held[id].entry == entry {
			held = append(held, HeldGrant{ServerID: h.held[id].server, ID: id})
		}
	}
	h.Connect(entry, map[string]string{"e1": "a", "e2": "b"}[entry], held, h.now)
	h.connected[entry] = true
}

// checkGrants records new grants and checks the limits of slots and of the cold
// rate. Requests of entries that had not reconnected when a slot was granted
// continue to run after the reconnect, so that the slots are counted at each
// grant.
func (h *handover) checkGrants() {
	for _, o := range h.TakeOutputs() {
		if o.Grant == nil {
			continue
		}
		server := o.Server.Record.ID
		h.held[o.Grant.ID] = heldGrant{o.Entry, server}
		h.checkSlots(server)
		if server == "cold" {
			h.coldGrantTimes = append(h.coldGrantTimes, h.now)
		}
	}
	for i, at := range h.coldGrantTimes {
		if i >= 2 && at.Sub(h.coldGrantTimes[i-2]) < time.Second {
			h.r.Fatalf("three grants of the cold server within %v", at.Sub(h.coldGrantTimes[i-2]))
		}
	}
}

// checkSlots checks that a server that was just granted runs no more requests
// than it has slots, apart from those that the broker can't know.
func (h *handover) checkSlots(server string) {
	running, unreported := 0, 0
	for _, g := range h.held {
		if g.server != server {
			continue
		}
		running++
		if !h.connected[g.entry] {
			unreported++
		}
	}
	if running > handoverSlots+unreported {
		h.r.Fatalf("%s runs %d requests, %d of them unknown to the broker", server, running, unreported)
	}
}

// TestHandOverKeepsSlotsAndColdRate replaces the broker at arbitrary moments,
// with entries that reconnect late: slots may be overbooked at most by the
// grants of entries that have not reconnected, and the cold rate must hold over
// all brokers.
func TestHandOverKeepsSlotsAndColdRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &handover{testBroker: &testBroker{t: t, now: start}, r: r, held: map[uint64]heldGrant{}}
		h.replaceBroker()
		h.connect("e1")
		h.connect("e2")
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "pause")) * time.Millisecond)
			for _, s := range h.servers {
				s.lastHealthyAt = h.now
			}
			h.step(rapid.SampledFrom([]string{"e1", "e2"}).Draw(r, "entry"), rapid.IntRange(0, 9).Draw(r, "step"))
			h.checkGrants()
		}
	})
}

// step carries out one step: mostly asks and releases, and now and then a new
// broker.
func (h *handover) step(entry string, kind int) {
	switch {
	case kind == 0:
		h.replaceBroker()
	case !h.connected[entry]:
		h.connect(entry)
	case kind < 6:
		h.seq++
		h.Ask(entry, Ask{Seq: h.brokers*1000 + h.seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 60_000}, h.now)
	case kind < 9:
		for _, id := range slices.Sorted(maps.Keys(h.held)) {
			if g := h.held[id]; g.entry == entry {
				delete(h.held, id)
				h.Release(entry, Release{ID: id, Outcome: Answered, ElapsedMillis: 100}, h.now)
				return
			}
		}
	default:
		h.Tick(h.now)
	}
}
