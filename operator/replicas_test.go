package operator

import (
	"testing"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
)

// groupStatus returns the status of a group of hosts.
func groupStatus(hosts ...string) consensus.Status {
	s := consensus.Status{Group: "configuration", Leader: hosts[0], Voters: hosts}
	for i, h := range hosts {
		s.Members.Voters = append(s.Members.Voters, raft.Member{ID: raft.ReplicaID(i + 1), Name: h})
	}
	return s
}

func TestPlanReplicas(t *testing.T) {
	three, five := groupStatus("a", "b", "c"), groupStatus("a", "b", "c", "d", "e")
	seven := groupStatus("a", "b", "c", "d", "e", "f", "g")
	leaderless := groupStatus("a", "b", "c")
	leaderless.Leader = ""
	regional, leaderlessRegional := groupStatus("a", "b"), groupStatus("a", "b")
	regional.Regional, leaderlessRegional.Regional, leaderlessRegional.Leader = true, true, ""
	cases := []struct {
		name    string
		change  consensus.Change
		group   consensus.Status
		after   int
		refused bool
	}{
		{"add", consensus.Change{Kind: consensus.AddReplica, Name: "x"}, three, 4, false},
		{"add a member", consensus.Change{Kind: consensus.AddReplica, Name: "a"}, three, 0, true},
		{"add to seven", consensus.Change{Kind: consensus.AddReplica, Name: "x"}, seven, 0, true},
		{"remove from three", consensus.Change{Kind: consensus.RemoveReplica, Name: "a"}, three, 0, true},
		{"remove from five", consensus.Change{Kind: consensus.RemoveReplica, Name: "a"}, five, 4, false},
		{"remove a stranger", consensus.Change{Kind: consensus.RemoveReplica, Name: "x"}, five, 0, true},
		{"replace", consensus.Change{Kind: consensus.ReplaceReplica, Name: "x", Replaces: "b"}, three, 3, false},
		{"replace a stranger", consensus.Change{Kind: consensus.ReplaceReplica, Name: "x", Replaces: "y"}, three, 0, true},
		{"no leader", consensus.Change{Kind: consensus.AddReplica, Name: "x"}, leaderless, 0, true},
		{"remove in a region", consensus.Change{Kind: consensus.RemoveReplica, Name: "a"}, regional, 1, false},
		{"remove in a silent region", consensus.Change{Kind: consensus.RemoveReplica, Name: "a"}, leaderlessRegional, 0, true},
		{"unknown", consensus.Change{Kind: "grow", Name: "x"}, three, 0, true},
	}
	for _, c := range cases {
		p := planReplicaChange(c.change, []consensus.Status{c.group})
		if refused := p.Refusal != ""; refused != c.refused {
			t.Errorf("%s: plan %+v", c.name, p)
		} else if !refused && (p.Groups[0].VotersAfter != c.after || p.Digest == "") {
			t.Errorf("%s: plan %+v, want %d voters", c.name, p, c.after)
		}
	}
}

func TestReplicaDigestCoversMembers(t *testing.T) {
	change := consensus.Change{Kind: consensus.AddReplica, Name: "x"}
	a := planReplicaChange(change, []consensus.Status{groupStatus("a", "b", "c")})
	b := planReplicaChange(change, []consensus.Status{groupStatus("a", "b", "d")})
	if a.Digest == b.Digest {
		t.Error("plans on different members have the same digest")
	}
}
