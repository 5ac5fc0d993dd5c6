package coordinator

import (
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/protocol"
)

// splitCompact splits messages into those without log entries and snapshot,
// encoded compactly, and the rest.
func splitCompact(messages []raft.Message) (compact []protocol.CompactReplicationMessage, rest []raft.Message) {
	for _, m := range messages {
		if len(m.Entries) > 0 || m.Snapshot != nil {
			rest = append(rest, m)
			continue
		}
		compact = append(compact, protocol.CompactReplicationMessage{
			Type: uint8(m.Type), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
			PrevIndex: m.Prev.Index, PrevTerm: m.Prev.Term, Commit: m.Commit, ReadSeq: m.ReadSeq,
			Reject: m.Reject, Transfer: m.Transfer, HintIndex: m.Hint.Index, HintTerm: m.Hint.Term,
		})
	}
	return compact, rest
}

// messagesFromCompact decodes the compact messages of [splitCompact].
func messagesFromCompact(compact []protocol.CompactReplicationMessage) []raft.Message {
	messages := make([]raft.Message, 0, len(compact))
	for _, m := range compact {
		messages = append(messages, raft.Message{
			Type: raft.MessageType(m.Type), From: raft.ReplicaID(m.From), To: raft.ReplicaID(m.To), Term: m.Term,
			Prev: raft.EntryID{Index: m.PrevIndex, Term: m.PrevTerm}, Commit: m.Commit, ReadSeq: m.ReadSeq,
			Reject: m.Reject, Transfer: m.Transfer, Hint: raft.EntryID{Index: m.HintIndex, Term: m.HintTerm},
		})
	}
	return messages
}
