package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Channel is a way into a process.
type Channel string

// The channels.
const (
	// Peer is the channel between the system's own processes.
	Peer Channel = "peer"
	// Operator is the administration API.
	Operator Channel = "operator"
)

// Reason says why somebody was refused.
type Reason string

// The reasons.
const (
	// MissingKey means that no key was presented.
	MissingKey Reason = "missing_key"
	// WrongKey means that another key was presented.
	WrongKey Reason = "wrong_key"
	// NoHello means that a peer connection did not present itself in time.
	NoHello Reason = "no_hello"
	// TooManyUnauthenticated means that too many connections had not presented a key.
	TooManyUnauthenticated Reason = "too_many_unknown"
)

// KeyMatches reports whether the given key is the wanted one. The time it takes
// depends on the lengths alone. An empty wanted key lets nobody in.
func KeyMatches(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && want != ""
}

// RefusalReason returns the reason for a key that is not the wanted one.
func RefusalReason(given string) Reason {
	if given == "" {
		return MissingKey
	}
	return WrongKey
}

// CountRefusal counts a refusal in the set, which may be nil.
func CountRefusal(set *metrics.Set, c Channel, r Reason) {
	if set == nil {
		return
	}
	set.GetOrCreateCounter(fmt.Sprintf(`tanagerbarrow_access_refused_total{channel=%q,reason=%q}`, c, r)).Inc()
}
