package membership

import (
	"cmp"
	"strings"
	"time"
)

// Origin is one run of an entry process, which owns leases of backend servers.
type Origin struct {
	// Host is the entry host's name.
	Host string `json:"host"`
	// Epoch grows with every start of the process.
	Epoch uint64 `json:"epoch"`
}

// compare orders origins.
func (o Origin) compare(p Origin) int {
	return cmp.Or(strings.Compare(o.Host, p.Host), cmp.Compare(o.Epoch, p.Epoch))
}

// Register is the record that one origin holds of one backend server. Only the
// origin writes it.
type Register struct {
	// Server is the record as of the last change.
	Server BackendServer `json:"server"`
	// Ended is true if the origin no longer owns the lease: it expired, or
	// another origin took it over.
	Ended bool `json:"ended,omitempty"`
	// Version numbers the changes of the origin in their order.
	Version uint64 `json:"version"`
}

// tombstone reports whether the register only prevents older records from being
// accepted.
func (r *Register) tombstone() bool { return r.Ended || r.Server.State == Leaving }

// holdsLease reports whether the register is not a tombstone; a nil register
// holds no lease.
func (r *storedRegister) holdsLease() bool { return r != nil && !r.tombstone() }

// storedRegister is a register with the state that one table keeps of it.
type storedRegister struct {
	Register

	// newestSequence is the newest announced sequence. It is maintained for own
	// registers only, because renewals are not replicated.
	newestSequence uint64
	// expiresAt is the end of the lease; it is used for own registers only.
	expiresAt time.Time
	// receivedAt is when this version was stored in the table.
	receivedAt time.Time
}

// registers holds the registers of all origins for one address.
type registers map[Origin]*storedRegister

// merge returns the record that results from all registers, and whether the
// backend server is usable. The result depends on nothing but the registers.
func (rs registers) merge() (b BackendServer, usable bool) {
	var newest, left uint64
	for _, r := range rs {
		newest = max(newest, r.Server.Generation)
		if r.Server.State == Leaving {
			left = max(left, r.Server.Generation)
		}
	}
	var best *storedRegister
	var bestOrigin Origin
	for o, r := range rs {
		if r.Ended || r.Server.Generation != newest || newest <= left {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(r.Server.Sequence, best.Server.Sequence), o.compare(bestOrigin)) > 0 {
			best, bestOrigin = r, o
		}
	}
	if best == nil {
		return BackendServer{}, false
	}
	return best.Server, true
}

// newest returns the newest generation and, within it, the newest sequence and
// whether the backend server left.
func (rs registers) newest() (generation, sequence uint64, left bool) {
	for _, r := range rs {
		s := &r.Server
		if s.Generation > generation {
			generation, sequence, left = s.Generation, 0, false
		}
		if s.Generation == generation {
			sequence = max(sequence, s.Sequence, r.newestSequence)
			left = left || s.State == Leaving
		}
	}
	return generation, sequence, left
}
