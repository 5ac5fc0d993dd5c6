package ledger

import "time"

// Lifetime is how long a claim is remembered after its last grant, in log time.
// A caller that sends a key again later starts a new order.
const Lifetime = time.Hour

// MaxOrderDuration bounds an order in progress. It lies below [Lifetime] by
// more than the clocks of control hosts may differ.
const MaxOrderDuration = 10 * time.Minute

// The bounds of one stored answer, in bytes.
const (
	MaxAnswerBytes = 64 << 10
	MaxHeaderBytes = 8 << 10
)

// The bounds of one ledger group.
const (
	// maxClaims bounds the remembered grants. A full ledger grants no new claim.
	maxClaims = 2_000_000
	// maxAnswersBytes bounds all stored answers, in bytes. Past it orders are
	// settled without their answers.
	maxAnswersBytes = 256 << 20
	// maxReleased bounds the remembered tokens that released one key.
	maxReleased = 8
)

// Outcome says what became of a command.
type Outcome string

// The outcomes of a command.
const (
	// Granted means that the arrival with the token alone may send the order.
	Granted Outcome = "granted"
	// Pending means that another arrival holds the claim; whether the order
	// ran is not known.
	Pending Outcome = "pending"
	// Settled means that the order ran.
	Settled Outcome = "settled"
	// Conflict means that the key was used with another body.
	Conflict Outcome = "conflict"
	// Released means that the arrival gave the key back or never held it; it
	// may not send the order.
	Released Outcome = "released"
	// Full means that the ledger has no room for another claim.
	Full Outcome = "full"
)

// Answer is a stored response.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Header are the response's end-to-end fields.
	Header map[string][]string `json:"header,omitempty"`
	// Body is the response's body.
	Body []byte `json:"body,omitempty"`
	// Omitted means that the answer was too large to store.
	Omitted bool `json:"omitted,omitempty"`
}

// size returns about how much memory the answer takes, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Op is what a command does.
type Op string

// The operations of the ledger.
const (
	// OpClaim claims a key.
	OpClaim Op = "claim"
	// OpSettle stores the answer of the claimed order.
	OpSettle Op = "settle"
	// OpRelease gives the key back: the arrival provably did not run and will
	// never send the order. A claim with the same token that comes later, because
	// it was delayed, is not granted.
	OpRelease Op = "release"
)

// Command is one change of the ledger. A command may be repeated and delayed.
type Command struct {
	// Op is what the command does.
	Op Op `json:"op"`
	// Key identifies the order among all client accounts and services.
	Key string `json:"key"`
	// Token identifies the arrival that claims; no other arrival has it.
	Token string `json:"token"`
	// Digest covers the method, the path and the body of the order.
	Digest string `json:"digest,omitempty"`
	// Answer is the response of a settled order.
	Answer *Answer `json:"answer,omitempty"`
	// Now is the time of the proposing control host, in milliseconds since 1970.
	Now int64 `json:"now,omitempty"`
}

// Result is the ledger's reply to a command.
type Result struct {
	// Outcome says what became of the command.
	Outcome Outcome `json:"outcome"`
	// Answer is the stored response if the outcome is [Settled].
	Answer *Answer `json:"answer,omitempty"`
}
