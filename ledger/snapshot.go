package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// savedClaim is a claim in a snapshot.
type savedClaim struct {
	Key      []byte    `json:"key"`
	Phase    phase     `json:"phase"`
	Token    string    `json:"token"`
	Digest   []byte    `json:"digest"`
	At       int64     `json:"at"`
	Answer   *Response `json:"answer,omitempty"`
	Released []string  `json:"released,omitempty"`
}

// savedGrant is an element of the expiry queue in a snapshot.
type savedGrant struct {
	Key []byte `json:"key"`
	At  int64  `json:"at"`
}

// savedLedger is the content of a snapshot.
type savedLedger struct {
	Now    int64        `json:"now"`
	Claims []savedClaim `json:"claims"`
	Queue  []savedGrant `json:"queue"`
}

// Snapshot returns the ledger's state as JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := savedLedger{Now: m.now}
	written := make(map[hash]bool, len(m.claims))
	for _, g := range m.expiryQueue {
		snapshot.Queue = append(snapshot.Queue, savedGrant{Key: g.key[:], At: g.grantedAt})
		c, ok := m.claims[g.key]
		if !ok || written[g.key] {
			continue
		}
		written[g.key] = true
		snapshot.Claims = append(snapshot.Claims, savedClaim{
			Key: g.key[:], Phase: c.phase, Token: c.token, Digest: c.digest[:],
			At: c.grantedAt, Answer: c.answer, Released: c.releasedTokens,
		})
	}
	return json.Marshal(snapshot)
}

// Restore replaces the ledger's state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var snapshot savedLedger
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "decode ledger snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.claims, m.expiryQueue, m.answersBytes = snapshot.Now, map[hash]*claim{}, nil, 0
	for _, s := range snapshot.Claims {
		c := &claim{phase: s.Phase, token: s.Token, grantedAt: s.At, answer: s.Answer, releasedTokens: s.Released}
		copy(c.digest[:], s.Digest)
		var key hash
		copy(key[:], s.Key)
		m.claims[key] = c
		if c.answer != nil {
			m.answersBytes += c.answer.size()
		}
	}
	for _, s := range snapshot.Queue {
		g := grant{grantedAt: s.At}
		copy(g.key[:], s.Key)
		m.expiryQueue = append(m.expiryQueue, g)
	}
	return nil
}
