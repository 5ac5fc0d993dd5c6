package ledger

import "time"

// Lifetime is how long a claim is kept after its last grant, in log time. A caller
// that reuses the key after that starts a new order.
const Lifetime = time.Hour

// MaxOrderDuration bounds the duration of an order. It is shorter than [Lifetime]
// by more than the maximum clock difference between control hosts.
const MaxOrderDuration = 10 * time.Minute

// The bounds of one stored answer, in bytes.
const (
	MaxResponseBytes = 64 << 10
	MaxHeaderBytes   = 8 << 10
)

// The bounds of one ledger group.
const (
	// maxClaims bounds the unexpired grants. A full ledger grants no new claim.
	maxClaims = 2_000_000
	// maxAnswersBytes bounds the total size of the stored answers. Beyond it, orders
	// are settled without their answers.
	maxAnswersBytes = 256 << 20
	// maxReleasedTokens bounds the tokens kept for one key that have released it.
	maxReleasedTokens = 8
)

// Outcome is the effect of a command.
type Outcome string

// The outcomes of a command.
const (
	// Granted means that only the arrival with the token may send the order.
	Granted Outcome = "granted"
	// Pending means that another arrival holds the claim; whether the order
	// ran is not known.
	Pending Outcome = "pending"
	// Settled means that the order ran.
	Settled Outcome = "settled"
	// Conflict means that the key was used with a different method, path or body.
	Conflict Outcome = "conflict"
	// Released means that the arrival has released the key or never held it. It may
	// not send the order.
	Released Outcome = "released"
	// Full means that the ledger has reached its capacity for claims.
	Full Outcome = "full"
)

// Response is the stored response of an order.
type Response struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Header holds the response's end-to-end header fields.
	Header map[string][]string `json:"header,omitempty"`
	// Body is the response's body.
	Body []byte `json:"body,omitempty"`
	// Omitted means that the answer was too large to store.
	Omitted bool `json:"omitted,omitempty"`
}

// size returns the approximate memory use of the answer, in bytes.
func (a *Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Op is the operation of a command.
type Op string

// The operations of the ledger.
const (
	// OpClaim claims a key.
	OpClaim Op = "claim"
	// OpSettle stores the answer of the claimed order.
	OpSettle Op = "settle"
	// OpRelease releases the key: the arrival's order provably did not run and the
	// arrival will never send it. A delayed claim with the same token that arrives
	// later is not granted.
	OpRelease Op = "release"
)

// Command is one change of the ledger. Commands may arrive repeatedly and late.
type Command struct {
	// Op is the operation.
	Op Op `json:"op"`
	// Key identifies the order across all client accounts and services.
	Key string `json:"key"`
	// Token is unique to the arrival that sends the command.
	Token string `json:"token"`
	// Digest is the digest of the order's method, path and body.
	Digest string `json:"digest,omitempty"`
	// Response is the response of a settled order.
	Response *Response `json:"answer,omitempty"`
	// Now is the time of the proposing control host, in milliseconds since 1970.
	Now int64 `json:"now,omitempty"`
}

// Result is the ledger's reply to a command.
type Result struct {
	// Outcome is the effect of the command.
	Outcome Outcome `json:"outcome"`
	// Response is the stored response if the outcome is [Settled].
	Response *Response `json:"answer,omitempty"`
}
