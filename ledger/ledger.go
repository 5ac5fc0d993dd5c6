package ledger

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxClaims bounds the remembered claims; the oldest is forgotten first.
const maxClaims = 200_000

// Outcome says what became of a claim.
type Outcome string

// The outcomes of a claim.
const (
	// Granted means that the caller of Claim alone may send the order.
	Granted Outcome = "granted"
	// Pending means that another arrival holds the claim; whether the order
	// ran is not known.
	Pending Outcome = "pending"
	// Settled means that the order ran and its answer is stored.
	Settled Outcome = "settled"
	// Conflict means that the key was used with another body.
	Conflict Outcome = "conflict"
)

// Answer is a stored response.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the response's media type.
	ContentType string `json:"content_type,omitempty"`
	// Body is the response's body.
	Body []byte `json:"body,omitempty"`
}

// Op is what a command does.
type Op string

// The operations of the ledger.
const (
	// OpClaim claims a key.
	OpClaim Op = "claim"
	// OpSettle stores the answer of the claimed order.
	OpSettle Op = "settle"
	// OpRelease gives the key back: the order provably did not run.
	OpRelease Op = "release"
)

// Command is one change of the ledger.
type Command struct {
	// Op is what the command does.
	Op Op `json:"op"`
	// Key is the idempotency key, prefixed by its client account and service.
	Key string `json:"key"`
	// Token identifies the arrival that claims.
	Token string `json:"token"`
	// Digest covers the method, the path and the body of the order.
	Digest string `json:"digest,omitempty"`
	// Answer is the stored response of a settled order.
	Answer *Answer `json:"answer,omitempty"`
}

// Result is the ledger's reply to a command.
type Result struct {
	// Outcome says what became of the claim.
	Outcome Outcome `json:"outcome"`
	// Answer is the stored response if the outcome is [Settled].
	Answer *Answer `json:"answer,omitempty"`
}

// claim is what is known of one key.
type claim struct {
	Key    string  `json:"key"`
	Token  string  `json:"token"`
	Digest string  `json:"digest"`
	Answer *Answer `json:"answer,omitempty"`
}

// Machine holds the claims. It is deterministic over its commands.
type Machine struct {
	mu     sync.Mutex
	claims map[string]*claim
	order  []string
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine { return &Machine{claims: map[string]*claim{}} }

// Apply carries out one logged command and returns its [Result] as JSON.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode ledger command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c.Op {
	case OpClaim:
		return json.Marshal(m.claim(c))
	case OpSettle, OpRelease:
		return json.Marshal(m.finish(c))
	default:
		return nil, errors.Newf("ledger operation %q is unknown", c.Op)
	}
}

// claim grants a free key. The same token gets its grant again.
func (m *Machine) claim(c Command) Result {
	held, ok := m.claims[c.Key]
	if !ok {
		m.claims[c.Key] = &claim{Key: c.Key, Token: c.Token, Digest: c.Digest}
		m.order = append(m.order, c.Key)
		m.forgetOldest()
		return Result{Outcome: Granted}
	}
	switch {
	case held.Digest != c.Digest:
		return Result{Outcome: Conflict}
	case held.Answer != nil:
		return Result{Outcome: Settled, Answer: held.Answer}
	case held.Token == c.Token:
		return Result{Outcome: Granted}
	default:
		return Result{Outcome: Pending}
	}
}

// finish settles or releases a claim that the token still holds.
func (m *Machine) finish(c Command) Result {
	held, ok := m.claims[c.Key]
	if !ok || held.Token != c.Token {
		return Result{Outcome: Conflict}
	}
	if c.Op == OpRelease && held.Answer == nil {
		delete(m.claims, c.Key)
		return Result{Outcome: Granted}
	}
	if held.Answer == nil {
		held.Answer = c.Answer
	}
	return Result{Outcome: Settled, Answer: held.Answer}
}

// forgetOldest keeps the ledger within its bound.
func (m *Machine) forgetOldest() {
	for len(m.order) > maxClaims {
		delete(m.claims, m.order[0])
		m.order = m.order[1:]
	}
}

// Snapshot returns the ledger's state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*claim
	for _, key := range m.order {
		if c, ok := m.claims[key]; ok {
			all = append(all, c)
		}
	}
	return json.Marshal(all)
}

// Restore replaces the ledger's state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	var all []*claim
	if err := json.Unmarshal(data, &all); err != nil {
		return errors.Wrap(err, "decode ledger snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims = map[string]*claim{}
	m.order = nil
	for _, c := range all {
		m.claims[c.Key] = c
		m.order = append(m.order, c.Key)
	}
	return nil
}
