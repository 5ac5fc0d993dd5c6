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

// fiveControls has five control processes in three regions.
var fiveControls = cluster.Size{
	Controls: 5, Entries: 1,
	Zones:     map[string]string{"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"},
	ZoneOrder: []string{"a", "b", "c", "d", "e"},
}

// changesBeforeRestart is the number of changes before all control processes restart.
const changesBeforeRestart = 500

// operatorSystem is a system to which operators send intents through any control
// process. It records the accepted changes.
type operatorSystem struct {
	*system

	accepted map[string]bool
	version  uint64
}

// client returns an operator's client of one control process, given by its index.
func (o *operatorSystem) client(index int) *operator.Client {
	return operator.NewClient("http://"+o.Controls[index].Operator.String(), cluster.OperatorKey)
}

// tryPinAccount pins a client account through one control process and records the
// change if it was accepted. It returns an error if there is no answer or the change
// is refused.
func (o *operatorSystem) tryPinAccount(index int, account string) error {
	c := o.client(index)
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

// pinAccount retries until an account is pinned through any running control process
// other than the excepted one.
func (o *operatorSystem) pinAccount(account string, except int) {
	o.t.Helper()
	index := 0
	o.eventually("account "+account+" is pinned", func() bool {
		index = (index + 1) % len(o.Controls)
		return index != except && o.processes[o.Controls[index].Name] != nil && o.tryPinAccount(index, account) == nil
	})
}

// leader returns the index of the control process that leads.
func (o *operatorSystem) leader() int {
	o.t.Helper()
	found := -1
	o.eventually("a control process leads", func() bool {
		for index, p := range o.Controls {
			if o.processes[p.Name] == nil {
				continue
			}
			if s, err := o.client(index).Status(); err == nil && s.Replica.Role == "leader" {
				found = index
				return true
			}
		}
		return false
	})
	return found
}

// checkAcceptedChanges checks that a control process has every accepted change.
func (o *operatorSystem) checkAcceptedChanges(index int) {
	o.t.Helper()
	var got *state.Configuration
	o.eventually("the configuration can be read", func() bool {
		c, err := o.client(index).Configuration()
		got = c
		return err == nil
	})
	if got.Version < o.version {
		o.t.Fatalf("host %s has version %d after %d was accepted", o.Controls[index].Name, got.Version, o.version)
	}
	for account := range o.accepted {
		if len(got.AccountHomes[account]) == 0 {
			o.t.Fatalf("host %s lost the accepted pin of %s", o.Controls[index].Name, account)
		}
	}
}

// suspend stops a control process with SIGSTOP; resume lets it continue.
func (o *operatorSystem) suspend(index int) (resume func()) {
	o.t.Helper()
	process := o.processes[o.Controls[index].Name].Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		o.t.Fatal(err)
	}
	return func() { _ = process.Signal(syscall.SIGCONT) }
}

// restart starts a control process that was killed.
func (o *operatorSystem) restart(index int) { o.start("control", o.Controls[index]) }

// deleteData deletes the data folder of a control process that was killed.
func (o *operatorSystem) deleteData(index int) {
	o.t.Helper()
	if err := os.RemoveAll(o.Folder + "/" + o.Controls[index].Name); err != nil {
		o.t.Fatal(err)
	}
}

// TestAcceptedChangesSurviveFaults checks that no accepted change is lost when control
// processes are killed or suspended, when all of them restart, and when one loses its
// disk and others are killed right after its replacement.
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	o := &operatorSystem{system: startSystem(t, fiveControls), accepted: map[string]bool{}}
	for step, fault := range []string{"kill leader", "kill follower", "freeze leader", "freeze follower"} {
		index := o.leader()
		if step%2 == 1 {
			index = (index + 1) % len(o.Controls)
		}
		end := func() { o.restart(index) }
		if step < 2 {
			o.kill(o.Controls[index].Name)
		} else {
			end = o.suspend(index)
		}
		for i := range 3 {
			o.pinAccount(fmt.Sprintf("%s-%d", fault[:4], 10*step+i), index)
		}
		end()
		o.checkAcceptedChanges(index)
	}
	o.restartAll()
	o.killVotersAfterReplacement()
}

// restartAll makes many changes, kills all control processes and starts them again.
func (o *operatorSystem) restartAll() {
	for i := range changesBeforeRestart {
		o.pinAccount(fmt.Sprintf("account-%d", i), -1)
	}
	for index := range o.Controls {
		o.kill(o.Controls[index].Name)
	}
	for index := range o.Controls {
		o.restart(index)
	}
	o.pinAccount("after-restart", -1)
	o.checkAcceptedChanges(o.leader())
}

// killVotersAfterReplacement deletes the data of one voter, waits until the new replica
// votes, and then kills two other voters.
func (o *operatorSystem) killVotersAfterReplacement() {
	lost := o.leader()
	o.kill(o.Controls[lost].Name)
	o.deleteData(lost)
	o.restart(lost)
	// Each group replaces the replica independently. Until a group has done so, one
	// of its voters is lost, and the two kills below would leave it without a quorum.
	o.eventually("the new replica is a voter of both common groups and the old one is not", func() bool {
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
	o.pinAccount("after-repair", -1)
	o.checkAcceptedChanges(lost)
	o.removeReplica(lost, o.Controls[second].Name)
	o.pinAccount("after-removal", -1)
}

// removeReplica plans and confirms the removal of a host through one control process.
func (o *operatorSystem) removeReplica(through int, name string) {
	o.t.Helper()
	c := o.client(through)
	intent := operator.ReplicaIntent{Change: consensus.Change{Kind: consensus.RemoveReplica, Name: name}}
	var p operator.ReplicaPlan
	var err error
	// The kills above may have ended the leader of the ledger's group, which
	// pinAccount does not use. Until the group elects another one, the plan is refused.
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
	o.eventually("the host is no longer a voter of the common groups", func() bool {
		groups, err := c.Replicas()
		return err == nil && !slices.Contains(groups[0].Voters, name) && !slices.Contains(groups[1].Voters, name)
	})
}
