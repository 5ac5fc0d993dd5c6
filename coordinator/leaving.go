package coordinator

import (
	"context"
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
)

// leaveCommitTimeout bounds the deregistration of a server that has said to an entry that it
// leaves.
const leaveCommitTimeout = 4 * time.Second

// leave removes a server of which an entry reports that it leaves. The deregistration is
// committed for later brokers; this one doesn't wait for it. A report that names another term is
// dropped: the number may be that of a later start.
func (l *leader) leave(entry string, m protocol.Leaving, now time.Time) {
	if m.Term != l.term {
		return
	}
	s := l.broker.Leave(m.Number, m.ServerID)
	if s == nil {
		return
	}
	l.log.Info().Str("event", "leaving_reported").Str("entry", entry).Str("server", m.ServerID).Str("service", s.Record.Service).Send()
	l.sendChanges(nil, []uint32{s.Number}, false, now)
	start := declare.DeregisteredServer{ID: s.Record.ID, Started: s.Record.Started}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveCommitTimeout)
		defer cancel()
		if err := l.c.commitDeregistration(ctx, start); err != nil {
			l.log.Warn().Str("event", "leaving_not_committed").Str("server", start.ID).Err(err).Send()
		}
	}()
}
