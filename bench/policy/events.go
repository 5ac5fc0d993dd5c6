package policy

import "time"

// event is a function that runs at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a binary heap of events, earliest first. It does not use
// container/heap, which would allocate for each event.
type events []event

// before reports whether event i comes before event j.
func (e events) before(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// push adds an event.
func (e *events) push(x event) {
	*e = append(*e, x)
	h := *e
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// pop removes and returns the earliest event.
func (e *events) pop() event {
	h := *e
	first := h[0]
	last := len(h) - 1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	*e = h
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h.before(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
