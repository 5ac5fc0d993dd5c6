package coordinator

import (
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/protocol"
)

// splitSignals splits messages into the short ones, encoded compactly, and the
// rest.
func splitSignals(messages []raft.Message) (signals []protocol.CompactReplicationMessage, rest []raft.Message) {
	for _, m := range messages {
		if len(m.Entries) > 0 || m.Snapshot != nil {
			rest = append(rest, m)
			continue
		}
		signals = append(signals, protocol.CompactReplicationMessage{
			Type: uint8(m.Type), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
			PrevIndex: m.Prev.Index, PrevTerm: m.Prev.Term, Commit: m.Commit, ReadSeq: m.ReadSeq,
			Reject: m.Reject, Transfer: m.Transfer, HintIndex: m.Hint.Index, HintTerm: m.Hint.Term,
		})
	}
	return signals, rest
}

// messagesFromSignals decodes the short messages of [splitSignals].
func messagesFromSignals(signals []protocol.CompactReplicationMessage) []raft.Message {
	messages := make([]raft.Message, 0, len(signals))
	for _, s := range signals {
		messages = append(messages, raft.Message{
			Type: raft.MessageType(s.Type), From: raft.ReplicaID(s.From), To: raft.ReplicaID(s.To), Term: s.Term,
			Prev: raft.EntryID{Index: s.PrevIndex, Term: s.PrevTerm}, Commit: s.Commit, ReadSeq: s.ReadSeq,
			Reject: s.Reject, Transfer: s.Transfer, Hint: raft.EntryID{Index: s.HintIndex, Term: s.HintTerm},
		})
	}
	return messages
}
