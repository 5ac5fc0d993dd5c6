package coordinator

import (
	"time"

	"tanagerbarrow/broker"
	"tanagerbarrow/registry"
)

// announceOwnRecords passes the records that this host holds to the broker.
func (l *leader) announceOwnRecords(now time.Time) {
	l.c.mu.Lock()
	records := l.c.records.All()
	copies := make([]registry.Record, 0, len(records))
	for _, r := range records {
		copies = append(copies, *r)
	}
	l.c.mu.Unlock()
	for _, r := range copies {
		l.announce(r, registry.Changed, nil, now)
	}
}

// announce passes a record to the broker and sends the change to the entries.
func (l *leader) announce(r registry.Record, o registry.Outcome, replaced *registry.Record, now time.Time) {
	if l.c.isDeregistered(r.ID, r.Started) || l.broker.HasLeft(r.ID, r.Started) {
		return
	}
	var gone []uint32
	if replaced != nil {
		if s := l.broker.RemoveServer(replaced.ID); s != nil {
			gone = append(gone, s.Number)
		}
	}
	if o == registry.Refreshed && l.broker.RefreshServer(r) {
		return
	}
	s := l.broker.Announce(r, now)
	l.log.Info().Str("event", "server_announced").Str("server", r.ID).Int64("started", r.Started).
		Str("service", r.Service).Str("version", r.Version).Str("address", r.Address).Bool("cold", now.Before(r.ColdUntil)).Send()
	l.sendChanges([]*broker.Server{s}, gone, false, now)
}
