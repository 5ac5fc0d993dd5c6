package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Channel is an interface of a process that requires a key.
type Channel string

// Channels.
const (
	// Peer is the channel between the processes of the system.
	Peer Channel = "peer"
	// Operator is the administration API.
	Operator Channel = "operator"
)

// Reason is the reason of a refusal.
type Reason string

// Reasons.
const (
	// MissingKey means that no key was presented.
	MissingKey Reason = "missing_key"
	// WrongKey means that a key other than the expected one was presented.
	WrongKey Reason = "wrong_key"
	// NoHello means that a peer connection did not present the key in time.
	NoHello Reason = "no_hello"
	// TooManyUnauthenticated means that too many open connections had not
	// presented a key.
	TooManyUnauthenticated Reason = "too_many_unknown"
)

// KeyMatches reports whether the presented key equals the expected one. Its
// running time depends only on the lengths of the keys, not on their contents.
// An empty expected key matches nothing.
func KeyMatches(presented, expected string) bool {
	a, b := sha256.Sum256([]byte(presented)), sha256.Sum256([]byte(expected))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && expected != ""
}

// RefusalReason returns the reason for refusing a key that does not match.
func RefusalReason(presented string) Reason {
	if presented == "" {
		return MissingKey
	}
	return WrongKey
}

// CountRefusal counts a refusal in the set. It does nothing if the set is nil.
func CountRefusal(set *metrics.Set, c Channel, r Reason) {
	if set == nil {
		return
	}
	set.GetOrCreateCounter(fmt.Sprintf(`tanagerbarrow_access_refused_total{channel=%q,reason=%q}`, c, r)).Inc()
}
