package integration

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/consensus"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// fiveControls is five control processes in three regions.
var fiveControls = cluster.Size{
	Controls: 5, Entries: 1,
	Zones:     map[string]string{"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"},
	ZoneOrder: []string{"a", "b", "c", "d", "e"},
}

// settledChanges is the number of changes before the restart of all processes.
const settledChanges = 500

// operators states intents to any control process that answers.
type operators struct {
	*system

	accepted map[string]bool
	version  uint64
}

// client returns a client of one control process.
func (o *operators) client(at int) *operator.Client {
	return operator.NewClient("http://"+o.Controls[at].Operator.String(), cluster.OperatorKey)
}

// try pins a client account through one control process and notes it if it was
// accepted.
func (o *operators) try(at int, account string) error {
	c := o.client(at)
	p, err := c.Plan(state.Intent{Kind: state.PinAccount, Subject: account, Regions: []string{"north"}})
	if err != nil {
		return err
	}
	answer, err := c.Confirm(p.ID, operator.Confirmation{Operator: "test", Digest: p.Digest})
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return errors.New(answer.Reason)
	}
	o.accepted[account] = true
	if answer.Version <= o.version {
		o.t.Fatalf("version went from %d to %d", o.version, answer.Version)
	}
	o.version = answer.Version
	return nil
}

// change pins an account through any control process but the given one.
func (o *operators) change(account string, not int) {
	o.t.Helper()
	at := 0
	o.eventually("account "+account+" is pinned", func() bool {
		at = (at + 1) % len(o.Controls)
		return at != not && o.processes[o.Controls[at].Name] != nil && o.try(at, account) == nil
	})
}

// leader returns the place of the control process that leads.
func (o *operators) leader() int {
	o.t.Helper()
	found := -1
	o.eventually("a control process leads", func() bool {
		for at, p := range o.Controls {
			if o.processes[p.Name] == nil {
				continue
			}
			if s, err := o.client(at).Status(); err == nil && s.Replica.Role == "leader" {
				found = at
				return true
			}
		}
		return false
	})
	return found
}

// checkKept holds that a control process has every accepted change.
func (o *operators) checkKept(at int) {
	o.t.Helper()
	var got *state.Configuration
	o.eventually("the configuration can be read", func() bool {
		c, err := o.client(at).Configuration()
		got = c
		return err == nil
	})
	if got.Version < o.version {
		o.t.Fatalf("host %s has version %d after %d was accepted", o.Controls[at].Name, got.Version, o.version)
	}
	for account := range o.accepted {
		if len(got.AccountHomes[account]) == 0 {
			o.t.Fatalf("host %s lost the accepted pin of %s", o.Controls[at].Name, account)
		}
	}
}

// freeze stops a control process without ending it.
func (o *operators) freeze(at int) (thaw func()) {
	o.t.Helper()
	process := o.processes[o.Controls[at].Name].Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		o.t.Fatal(err)
	}
	return func() { _ = process.Signal(syscall.SIGCONT) }
}

// restart starts a control process that was killed.
func (o *operators) restart(at int) { o.start("control", o.Controls[at]) }

// loseDisk removes all files of a control process that was killed.
func (o *operators) loseDisk(at int) {
	o.t.Helper()
	if err := os.RemoveAll(o.Folder + "/" + o.Controls[at].Name); err != nil {
		o.t.Fatal(err)
	}
}

// TestAcceptedChangesSurviveFaults runs five control processes through kills,
// freezes, a restart of all, and a lost disk with a second loss right after.
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	o := &operators{system: startSystem(t, fiveControls), accepted: map[string]bool{}}
	for step, fault := range []string{"kill leader", "kill follower", "freeze leader", "freeze follower"} {
		at := o.leader()
		if step%2 == 1 {
			at = (at + 1) % len(o.Controls)
		}
		end := func() { o.restart(at) }
		if step < 2 {
			o.kill(o.Controls[at].Name)
		} else {
			end = o.freeze(at)
		}
		for i := range 3 {
			o.change(fmt.Sprintf("%s-%d", fault[:4], 10*step+i), at)
		}
		end()
		o.checkKept(at)
	}
	o.restartAll()
	o.replaceAndLoseAnother()
}

// restartAll kills all control processes after many changes.
func (o *operators) restartAll() {
	for i := range settledChanges {
		o.change(fmt.Sprintf("account-%d", i), -1)
	}
	for at := range o.Controls {
		o.kill(o.Controls[at].Name)
	}
	for at := range o.Controls {
		o.restart(at)
	}
	o.change("after-restart", -1)
	o.checkKept(o.leader())
}

// replaceAndLoseAnother empties one disk, waits until the new replica votes, and
// kills two other voters at once.
func (o *operators) replaceAndLoseAnother() {
	lost := o.leader()
	o.kill(o.Controls[lost].Name)
	o.loseDisk(lost)
	o.restart(lost)
	// Each group exchanges the replica by itself. Until one has done so it holds
	// one lost voter, and the two kills below would leave it without a quorum.
	o.eventually("the new replica votes in both common groups and the old one left", func() bool {
		groups, err := o.client(lost).Replicas()
		return err == nil && !slices.ContainsFunc(groups[:2], func(s consensus.Status) bool {
			return len(s.Members.Voters) != len(o.Controls) || !s.Members.IsVoter(s.ReplicaID)
		})
	})
	second := o.leader()
	if second == lost {
		second = (lost + 1) % len(o.Controls)
	}
	o.kill(o.Controls[second].Name)
	third := (second + 1) % len(o.Controls)
	if third == lost {
		third = (third + 1) % len(o.Controls)
	}
	o.kill(o.Controls[third].Name)
	o.change("after-repair", -1)
	o.checkKept(lost)
	o.removeReplica(lost, o.Controls[second].Name)
	o.change("after-removal", -1)
}

// removeReplica plans and confirms the removal of a host.
func (o *operators) removeReplica(through int, name string) {
	o.t.Helper()
	c := o.client(through)
	intent := operator.ReplicaIntent{Change: consensus.Change{Kind: consensus.RemoveReplica, Name: name}}
	var p operator.ReplicaPlan
	var err error
	// The kills before may have taken the leader of the ledger's group, which
	// change does not use; until another one is elected the plan says so.
	o.eventually("every group of the plan has a leader", func() bool {
		p, err = c.ChangeReplicas(intent)
		return err != nil || !strings.Contains(p.Refusal, "there is no known leader")
	})
	if err != nil || p.Refusal != "" || p.Groups[0].VotersAfter != len(o.Controls)-1 {
		o.t.Fatalf("the removal of %s was planned as %+v: %v", name, p, err)
	}
	intent.Digest = p.Digest
	if p, err = c.ChangeReplicas(intent); err != nil || !p.Accepted {
		o.t.Fatalf("the removal of %s was answered by %+v: %v", name, p, err)
	}
	o.eventually("the host is no voter of the common groups", func() bool {
		groups, err := c.Replicas()
		return err == nil && !slices.Contains(groups[0].Voters, name) && !slices.Contains(groups[1].Voters, name)
	})
}
