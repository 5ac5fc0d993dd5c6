package coordinator

// logEjections logs which servers get no requests for a time, and whose requests failed
// on them: an entry that reports many of them may have lost its own links.
func (l *leader) logEjections() {
	for _, e := range l.broker.TakeEjections() {
		l.c.metrics.countEjection(e.Entry)
		l.ejectionLog.Info().Str("event", "server_ejected").Str("server", e.Server.Record.ID).
			Str("service", e.Server.Record.Service).Str("entry", e.Entry).Uint8("outcome", uint8(e.Outcome)).
			Dur("for_ms", e.For).Send()
	}
}
