package coordinator

import (
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// decode parses a stored configuration.
func (l *leader) decode(d declare.Document) (*route.Configuration, error) {
	content, err := d.Content()
	if err != nil {
		return nil, err
	}
	return l.c.options.Decode(content)
}

// broadcastDocument sends the newest configuration to all sessions.
func (l *leader) broadcastDocument(now time.Time) {
	base := l.sentDocument
	l.sentDocument, l.documentSentAt = l.state.Document, now
	m, err := packDocument(l.sentDocument, base)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	l.broadcast(protocol.KindDocument, m)
}

// sendDocumentTo sends a configuration to one session, as a delta to base if
// base isn't empty.
func (l *leader) sendDocumentTo(in *inboundLink, d, base declare.Document) {
	m, err := packDocument(d, base)
	if err != nil {
		l.log.Error().Str("event", "encode_failed").Err(err).Send()
		return
	}
	_ = in.conn.Send(protocol.KindDocument, m)
}

// packDocument encodes a configuration, as a compressed delta to base if base
// isn't empty.
func packDocument(d, base declare.Document) (protocol.Document, error) {
	if base.Version == 0 {
		return protocol.Document{Version: d.Version, Packed: d.Packed}, nil
	}
	content, err := d.Content()
	if err != nil {
		return protocol.Document{}, err
	}
	baseContent, err := base.Content()
	if err != nil {
		return protocol.Document{}, err
	}
	packed, err := declare.Pack(content, baseContent)
	return protocol.Document{Version: d.Version, BaseVersion: base.Version, Packed: packed}, err
}
