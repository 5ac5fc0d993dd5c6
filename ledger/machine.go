package ledger

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// hash identifies a key or a digest in a fixed number of bytes.
type hash [sha256.Size]byte

// phase is how far a claim is.
type phase uint8

// The phases of a claim.
const (
	phaseReleased phase = iota
	phasePending
	phaseSettled
)

// claim is what is known of one key.
type claim struct {
	phase phase
	// token holds the claim, or held it last.
	token  string
	digest hash
	// at is the log time of the last grant, in milliseconds.
	at     int64
	answer *Answer
	// released are tokens that gave the key back.
	released []string
}

// grant is one entry of the queue of expiries.
type grant struct {
	key hash
	at  int64
}

// bounds are the limits of a machine.
type bounds struct{ claims, answersBytes int }

// Machine holds the claims. It is deterministic over its commands: its time is
// the latest that a command named.
type Machine struct {
	bounds bounds

	mu     sync.Mutex
	now    int64
	claims map[hash]*claim
	// queue holds a grant for each claim and each renewal, the oldest first.
	queue []grant
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

// Apply carries out one logged command and returns its [Result] as JSON.
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

// claim grants a free key. The token that holds it gets its grant again.
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
		return Result{Outcome: Settled, Answer: held.answer}
	case held.token == c.Token:
		return Result{Outcome: Granted}
	default:
		return Result{Outcome: Pending}
	}
}

// grant gives a key that nobody holds to the token.
func (m *Machine) grant(key hash, held *claim, token string, digest hash) Result {
	if held != nil && slices.Contains(held.released, token) {
		return Result{Outcome: Released}
	}
	if len(m.queue) >= m.bounds.claims {
		return Result{Outcome: Full}
	}
	if held == nil {
		held = &claim{}
		m.claims[key] = held
	}
	held.phase, held.token, held.digest = phasePending, token, digest
	m.remember(key, held)
	return Result{Outcome: Granted}
}

// remember keeps the claim for its lifetime from now on.
func (m *Machine) remember(key hash, held *claim) {
	held.at = m.now
	m.queue = append(m.queue, grant{key: key, at: m.now})
}

// settle notes that the order of the token ran.
func (m *Machine) settle(c Command) Result {
	held := m.claims[sha256.Sum256([]byte(c.Key))]
	if held == nil || held.token != c.Token || held.phase == phaseReleased {
		return Result{Outcome: Released}
	}
	if held.phase == phasePending {
		held.phase = phaseSettled
		held.answer = m.bounded(c.Answer)
		m.answersBytes += held.answer.size()
	}
	return Result{Outcome: Settled, Answer: held.answer}
}

// bounded returns the answer, or one without header and body if it is too
// large to store.
func (m *Machine) bounded(a *Answer) *Answer {
	if a == nil {
		return &Answer{Omitted: true}
	}
	if a.size() > MaxAnswerBytes+MaxHeaderBytes || m.answersBytes+a.size() > m.bounds.answersBytes {
		return &Answer{Status: a.Status, Omitted: true}
	}
	return a
}

// release gives the key back and remembers the token, so that a delayed claim
// with it is not granted.
func (m *Machine) release(c Command) Result {
	key := hash(sha256.Sum256([]byte(c.Key)))
	held := m.claims[key]
	switch {
	case held == nil:
		if len(m.queue) >= m.bounds.claims {
			return Result{Outcome: Full}
		}
		held = &claim{token: c.Token}
		m.claims[key] = held
		m.remember(key, held)
	case held.phase == phaseSettled && held.token == c.Token:
		return Result{Outcome: Settled, Answer: held.answer}
	case held.phase == phasePending && held.token == c.Token:
		held.phase = phaseReleased
	}
	if !slices.Contains(held.released, c.Token) {
		held.released = append(held.released, c.Token)
		held.released = held.released[max(0, len(held.released)-maxReleased):]
	}
	return Result{Outcome: Released}
}

// expire forgets the claims whose lifetime has passed.
func (m *Machine) expire() {
	cut := m.now - Lifetime.Milliseconds()
	for len(m.queue) > 0 && m.queue[0].at <= cut {
		oldest := m.queue[0]
		m.queue = m.queue[1:]
		held := m.claims[oldest.key]
		if held == nil || held.at > oldest.at {
			continue
		}
		if held.answer != nil {
			m.answersBytes -= held.answer.size()
		}
		delete(m.claims, oldest.key)
	}
}
