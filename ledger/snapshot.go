package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// savedClaim is a claim in a snapshot.
type savedClaim struct {
	Key      []byte   `json:"key"`
	Phase    phase    `json:"phase"`
	Token    string   `json:"token"`
	Digest   []byte   `json:"digest"`
	At       int64    `json:"at"`
	Answer   *Answer  `json:"answer,omitempty"`
	Released []string `json:"released,omitempty"`
}

// savedGrant is an entry of the queue of expiries in a snapshot.
type savedGrant struct {
	Key []byte `json:"key"`
	At  int64  `json:"at"`
}

// saved is a snapshot of a ledger.
type saved struct {
	Now    int64        `json:"now"`
	Claims []savedClaim `json:"claims"`
	Queue  []savedGrant `json:"queue"`
}

// Snapshot returns the ledger's state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := saved{Now: m.now}
	written := make(map[hash]bool, len(m.claims))
	for _, g := range m.queue {
		all.Queue = append(all.Queue, savedGrant{Key: g.key[:], At: g.at})
		c, ok := m.claims[g.key]
		if !ok || written[g.key] {
			continue
		}
		written[g.key] = true
		all.Claims = append(all.Claims, savedClaim{
			Key: g.key[:], Phase: c.phase, Token: c.token, Digest: c.digest[:],
			At: c.at, Answer: c.answer, Released: c.released,
		})
	}
	return json.Marshal(all)
}

// Restore replaces the ledger's state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	var all saved
	if err := json.Unmarshal(data, &all); err != nil {
		return errors.Wrap(err, "decode ledger snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.claims, m.queue, m.answersBytes = all.Now, map[hash]*claim{}, nil, 0
	for _, s := range all.Claims {
		c := &claim{phase: s.Phase, token: s.Token, at: s.At, answer: s.Answer, released: s.Released}
		copy(c.digest[:], s.Digest)
		var key hash
		copy(key[:], s.Key)
		m.claims[key] = c
		if c.answer != nil {
			m.answersBytes += c.answer.size()
		}
	}
	for _, s := range all.Queue {
		g := grant{at: s.At}
		copy(g.key[:], s.Key)
		m.queue = append(m.queue, g)
	}
	return nil
}
