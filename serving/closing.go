package serving

import (
	"cmp"
	"slices"
	"time"
)

// The progress that a caller must make while the process waits for it.
const (
	// minTransferRate is the least rate, in bytes per second, at which a body arrives or a
	// response is read. It is what each caller gets when 250 of them share the thinnest link of
	// an entry, 2 Mbit/s.
	minTransferRate = 1 << 10
	// transferWindow is the waiting time over which the rate is taken. It is longer than a
	// lost packet holds up a connection.
	transferWindow = 10 * time.Second
	// minReclaimWait is the waiting time without which no connection is closed to make room.
	minReclaimWait = time.Second
)

// phase is what a connection is doing.
type phase int32

// The phases of a connection.
const (
	// phaseIdle is before the first byte of a request, and phaseHead until its head is read.
	phaseIdle phase = iota
	phaseHead
	// phaseServing is while the request is served and the process waits for nothing from the
	// caller.
	phaseServing
	// phaseBody is while the process reads the body, and phaseResponse while it writes the
	// response.
	phaseBody
	phaseResponse
)

// String returns the name of the phase in logs and metrics.
func (p phase) String() string {
	return [...]string{"idle", "head", "serving", "body", "response"}[p]
}

// holding is what a connection makes the process hold, and its progress.
type holding struct {
	phase phase
	// waiting says that the process waits for the caller at this moment.
	waiting bool
	// waited is how long the process has waited in this window, and progress is how many bytes
	// were transferred in it.
	waited   time.Duration
	progress int64
	// bytes is the memory that the connection holds.
	bytes int64
}

// tooSlow reports whether a caller transfers a body or a response below the least rate. Heads
// and idle connections have timeouts of their own.
func (h holding) tooSlow() bool {
	return h.waiting && (h.phase == phaseBody || h.phase == phaseResponse) && h.waited >= transferWindow &&
		float64(h.progress) < minTransferRate*h.waited.Seconds()
}

// closable reports whether a connection may be closed to make room: not while its request is
// served, and not one that has only just begun to wait.
func (h holding) closable() bool {
	return h.waiting && h.phase != phaseServing && h.waited >= minReclaimWait
}

// weight orders connections that may be closed: those first that hold most for longest with
// least progress.
func (h holding) weight() float64 {
	return float64(h.bytes) * h.waited.Seconds() / (1 + float64(h.progress)/minTransferRate)
}

// worst returns the indices of connections to close until they are at least count and hold at
// least bytes together; fewer if no more may be closed.
func worst(all []holding, count int, bytes int64) []int {
	var chosen []int
	for i, h := range all {
		if h.closable() {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(all[b].weight(), all[a].weight()) })
	for n, i := range chosen {
		if count <= 0 && bytes <= 0 {
			return chosen[:n]
		}
		count--
		bytes -= all[i].bytes
	}
	return chosen
}
