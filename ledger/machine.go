package ledger

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// hash is the SHA-256 hash of a key or of a digest.
type hash [sha256.Size]byte

// phase is the state of a claim.
type phase uint8

// The phases of a claim.
const (
	phaseReleased phase = iota
	phasePending
	phaseSettled
)

// claim is the state of one key.
type claim struct {
	phase phase
	// token is the token that holds the claim, or that held it last.
	token  string
	digest hash
	// grantedAt is the log time of the last grant, in milliseconds since 1970.
	grantedAt int64
	answer    *Response
	// releasedTokens are the last tokens that released the key.
	releasedTokens []string
}

// grant is one element of the expiry queue.
type grant struct {
	key       hash
	grantedAt int64
}

// bounds are the capacity limits of a machine.
type bounds struct{ claims, answersBytes int }

// Machine is the replicated state machine of the claims. It is deterministic over
// its commands: its clock is the latest time that a command contained.
type Machine struct {
	bounds bounds

	mu     sync.Mutex
	now    int64
	claims map[hash]*claim
	// expiryQueue has an element for each creation and each renewal of a claim, the
	// oldest first.
	expiryQueue []grant
	// answersBytes is the size of all stored answers.
	answersBytes int
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine {
	return &Machine{
		bounds: bounds{claims: maxClaims, answersBytes: maxAnswersBytes},
		claims: map[hash]*claim{},
	}
}

// Apply executes one logged command and returns its [Result] as JSON. It returns
// an error if the command cannot be decoded or its operation is unknown.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode ledger command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, c.Now)
	m.expire()
	switch c.Op {
	case OpClaim:
		return json.Marshal(m.claim(c))
	case OpSettle:
		return json.Marshal(m.settle(c))
	case OpRelease:
		return json.Marshal(m.release(c))
	default:
		return nil, errors.Newf("ledger operation %q is unknown", c.Op)
	}
}

// claim grants a key that no token holds. A repeated claim of the token that holds
// the key is granted again.
func (m *Machine) claim(c Command) Result {
	key, digest := sha256.Sum256([]byte(c.Key)), hash(sha256.Sum256([]byte(c.Digest)))
	held := m.claims[key]
	if held == nil || held.phase == phaseReleased {
		return m.grant(key, held, c.Token, digest)
	}
	switch {
	case held.digest != digest:
		return Result{Outcome: Conflict}
	case held.phase == phaseSettled:
		return Result{Outcome: Settled, Response: held.answer}
	case held.token == c.Token:
		return Result{Outcome: Granted}
	default:
		return Result{Outcome: Pending}
	}
}

// grant grants a key that no token holds to the given token.
func (m *Machine) grant(key hash, held *claim, token string, digest hash) Result {
	if held != nil && slices.Contains(held.releasedTokens, token) {
		return Result{Outcome: Released}
	}
	if len(m.expiryQueue) >= m.bounds.claims {
		return Result{Outcome: Full}
	}
	if held == nil {
		held = &claim{}
		m.claims[key] = held
	}
	held.phase, held.token, held.digest = phasePending, token, digest
	m.renew(key, held)
	return Result{Outcome: Granted}
}

// renew restarts the lifetime of the claim.
func (m *Machine) renew(key hash, held *claim) {
	held.grantedAt = m.now
	m.expiryQueue = append(m.expiryQueue, grant{key: key, grantedAt: m.now})
}

// settle records that the order of the token ran.
func (m *Machine) settle(c Command) Result {
	held := m.claims[sha256.Sum256([]byte(c.Key))]
	if held == nil || held.token != c.Token || held.phase == phaseReleased {
		return Result{Outcome: Released}
	}
	if held.phase == phasePending {
		held.phase = phaseSettled
		held.answer = m.fitAnswer(c.Response)
		m.answersBytes += held.answer.size()
	}
	return Result{Outcome: Settled, Response: held.answer}
}

// fitAnswer returns the answer, or one without header and body if it is too large
// to store.
func (m *Machine) fitAnswer(a *Response) *Response {
	if a == nil {
		return &Response{Omitted: true}
	}
	if a.size() > MaxResponseBytes+MaxHeaderBytes || m.answersBytes+a.size() > m.bounds.answersBytes {
		return &Response{Status: a.Status, Omitted: true}
	}
	return a
}

// release releases the key and keeps the token, so that a delayed claim with the
// same token is not granted.
func (m *Machine) release(c Command) Result {
	key := hash(sha256.Sum256([]byte(c.Key)))
	held := m.claims[key]
	switch {
	case held == nil:
		if len(m.expiryQueue) >= m.bounds.claims {
			return Result{Outcome: Full}
		}
		held = &claim{token: c.Token}
		m.claims[key] = held
		m.renew(key, held)
	case held.phase == phaseSettled && held.token == c.Token:
		return Result{Outcome: Settled, Response: held.answer}
	case held.phase == phasePending && held.token == c.Token:
		held.phase = phaseReleased
	}
	if !slices.Contains(held.releasedTokens, c.Token) {
		held.releasedTokens = append(held.releasedTokens, c.Token)
		held.releasedTokens = held.releasedTokens[max(0, len(held.releasedTokens)-maxReleasedTokens):]
	}
	return Result{Outcome: Released}
}

// expire deletes the claims whose lifetime has passed.
func (m *Machine) expire() {
	cutoff := m.now - Lifetime.Milliseconds()
	for len(m.expiryQueue) > 0 && m.expiryQueue[0].grantedAt <= cutoff {
		oldest := m.expiryQueue[0]
		m.expiryQueue = m.expiryQueue[1:]
		held := m.claims[oldest.key]
		if held == nil || held.grantedAt > oldest.grantedAt {
			continue
		}
		if held.answer != nil {
			m.answersBytes -= held.answer.size()
		}
		delete(m.claims, oldest.key)
	}
}
