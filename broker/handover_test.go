package broker

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// handover is a service that passes from broker to broker. Entries reconnect one
// after the other and tell what they hold; heartbeats arrive in between.
type handover struct {
	*world
	r *rapid.T
	// held are the requests that run, whoever granted them.
	held map[uint64]heldGrant
	// here are the entries that the present broker knows.
	here map[string]bool
	// cold are the times of all grants of the cold server.
	cold   []time.Time
	epochs uint64
}

// heldGrant is a running request.
type heldGrant struct{ entry, server string }

// handoverSlots are the slots of each server of a world.
const handoverSlots = 2

// succeed puts a new broker in the place of the present one. It begins with the
// servers whose heartbeats reach it and without entries.
func (h *handover) succeed() {
	h.epochs++
	now := h.now
	h.world = newWorld(h.t)
	h.now = now
	h.options.GrantIDBase, h.nextGrant = h.epochs*1000, h.epochs*1000
	if h.epochs > 1 {
		h.options.ColdGrantsFrom = now.Add(1300 * time.Millisecond)
	}
	h.Disconnect("e1", now)
	h.Disconnect("e2", now)
	h.here = map[string]bool{}
	h.announce("warm1", "a", 0)
	h.announce("warm2", "b", 0)
	h.announce("cold", "a", time.Hour)
}

// connect connects an entry with what it holds.
func (h *handover) connect(entry string) {
	var held []HeldGrant
	for _, id := range slices.Sorted(maps.Keys(h.held)) {
		if h.held[id].entry == entry {
			held = append(held, HeldGrant{ServerID: h.held[id].server, ID: id})
		}
	}
	h.Connect(entry, map[string]string{"e1": "a", "e2": "b"}[entry], held, h.now)
	h.here[entry] = true
}

// note takes in grants and checks what must hold. What entries held that were
// unknown when a slot was granted goes on running after they have reconnected, so
// that the slots are counted with each grant.
func (h *handover) note() {
	for _, o := range h.TakeOutputs() {
		if o.Grant == nil {
			continue
		}
		server := o.Server.Record.ID
		h.held[o.Grant.ID] = heldGrant{o.Entry, server}
		h.checkSlots(server)
		if server == "cold" {
			h.cold = append(h.cold, h.now)
		}
	}
	for i, at := range h.cold {
		if i >= 2 && at.Sub(h.cold[i-2]) < time.Second {
			h.r.Fatalf("three grants of the cold server within %v", at.Sub(h.cold[i-2]))
		}
	}
}

// checkSlots holds that a server that was just granted has no more requests than
// slots, but for those that the broker can't know.
func (h *handover) checkSlots(server string) {
	running, untold := 0, 0
	for _, g := range h.held {
		if g.server != server {
			continue
		}
		running++
		if !h.here[g.entry] {
			untold++
		}
	}
	if running > handoverSlots+untold {
		h.r.Fatalf("%s runs %d requests, %d of them unknown to the broker", server, running, untold)
	}
}

// TestHandOverKeepsSlotsAndColdRate passes a service from broker to broker at any
// moment, with entries that reconnect late: slots are overbooked at most by what
// entries hold that have not reconnected, and the cold rate holds over all.
func TestHandOverKeepsSlotsAndColdRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &handover{world: &world{t: t, now: start}, r: r, held: map[uint64]heldGrant{}}
		h.succeed()
		h.connect("e1")
		h.connect("e2")
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "pause")) * time.Millisecond)
			for _, s := range h.servers {
				s.sound = h.now
			}
			h.step(rapid.SampledFrom([]string{"e1", "e2"}).Draw(r, "entry"), rapid.IntRange(0, 9).Draw(r, "step"))
			h.note()
		}
	})
}

// step carries out one step: mostly asks and ends of requests, now and then a new
// broker.
func (h *handover) step(entry string, kind int) {
	switch {
	case kind == 0:
		h.succeed()
	case !h.here[entry]:
		h.connect(entry)
	case kind < 6:
		h.seq++
		h.Ask(entry, Ask{Seq: h.epochs*1000 + h.seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 60_000}, h.now)
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
