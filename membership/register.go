package membership

import (
	"cmp"
	"strings"
	"time"
)

// Origin is one life of an entry process, which vouches for backend servers.
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

// Register is what one origin says of one backend server. The origin alone
// writes it.
type Register struct {
	// Server is the record as of the last change.
	Server BackendServer `json:"server"`
	// Ended says that the origin no longer vouches: the lease ended, or another
	// origin took over.
	Ended bool `json:"ended,omitempty"`
	// Version orders all changes of the origin.
	Version uint64 `json:"version"`
}

// tombstone reports whether the register only keeps older records out.
func (r *Register) tombstone() bool { return r.Ended || r.Server.State == Leaving }

// live reports whether the register vouches; nil does not.
func (r *heldRegister) live() bool { return r != nil && !r.tombstone() }

// heldRegister is a register as one table holds it.
type heldRegister struct {
	Register

	// sequence is the newest announced sequence; it is kept for own registers
	// alone, because renewals do not travel.
	sequence uint64
	// expires is the end of the lease; it is used for own registers alone.
	expires time.Time
	// learned is when this version came in.
	learned time.Time
}

// registers are what all origins say of one address.
type registers map[Origin]*heldRegister

// join returns the record that all registers amount to, and whether the
// backend server may be used. It depends on nothing but the registers.
func (rs registers) join() (b BackendServer, usable bool) {
	var newest, left uint64
	for _, r := range rs {
		newest = max(newest, r.Server.Generation)
		if r.Server.State == Leaving {
			left = max(left, r.Server.Generation)
		}
	}
	var best *heldRegister
	var by Origin
	for o, r := range rs {
		if r.Ended || r.Server.Generation != newest || newest <= left {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(r.Server.Sequence, best.Server.Sequence), o.compare(by)) > 0 {
			best, by = r, o
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
			sequence = max(sequence, s.Sequence, r.sequence)
			left = left || s.State == Leaving
		}
	}
	return generation, sequence, left
}
