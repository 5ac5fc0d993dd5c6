package controlbench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/control"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// pinnedAccounts is the number of client accounts that the changes pin in turn.
const pinnedAccounts = 200

// MeasureRestart fills the disk of a control process with accepted changes and
// measures the time from its start until its API reports the last version.
func MeasureRestart(binary string, changes int) (time.Duration, error) {
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return 0, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	written, err := cluster.WriteSettings(folder, size(1))
	if err != nil {
		return 0, err
	}
	p := written.Controls[0]
	version, err := fill(filepath.Join(folder, p.Name, control.GroupConfiguration), p, written.Zones, changes)
	if err != nil {
		return 0, err
	}
	written.Entries = nil
	begin := time.Now()
	running, err := cluster.Start(binary, written)
	if err != nil {
		return 0, err
	}
	defer running.Stop()
	client := operator.NewClient("http://"+p.Operator.String(), cluster.OperatorKey)
	for time.Since(begin) < startTimeout {
		if c, err := client.Configuration(); err == nil && c.Version >= version {
			return time.Since(begin), nil
		}
		time.Sleep(pollPeriod)
	}
	return 0, errors.Newf("the control process did not report version %d in %s", version, startTimeout)
}

// unsynced is the operating system's file system without syncs: the folder is
// read by a process of the same machine.
type unsynced struct{ wal.OS }

// unsyncedFile is a file without syncs.
type unsyncedFile struct{ wal.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// OpenAppend opens a file for appending.
func (u unsynced) OpenAppend(path string) (wal.File, error) {
	f, err := u.OS.OpenAppend(path)
	return unsyncedFile{f}, err
}

// noTransport reaches nobody: the group has one voter.
type noTransport struct{}

// Send drops messages.
func (noTransport) Send(raft.Member, consensus.Envelope) {}

// Call reaches nobody.
func (noTransport) Call(context.Context, raft.Member, consensus.Request) (consensus.Response, error) {
	return consensus.Response{}, consensus.ErrNotConnected
}

// fill makes changes in a folder and returns the last version.
func fill(folder string, p cluster.Process, zones map[string]string, changes int) (uint64, error) {
	if err := os.MkdirAll(filepath.Dir(folder), 0o700); err != nil {
		return 0, errors.Wrap(err, "create the data folder")
	}
	machine := state.NewMachine()
	node, err := consensus.Open(consensus.Options{
		Group: control.GroupConfiguration, Name: p.Name, Folder: folder, FS: unsynced{}, Machine: machine,
		Hosts:     []raft.Member{{Name: p.Name, Address: p.Peer.String()}},
		Transport: noTransport{}, Log: zerolog.Nop(),
	})
	if err != nil {
		return 0, err
	}
	for n := range changes {
		if err := change(node, machine, zones, n); err != nil {
			return 0, errors.CombineErrors(err, node.Close())
		}
	}
	return machine.Configuration().Version, node.Close()
}

// change makes and confirms one plan.
func change(node *consensus.Node, machine *state.Machine, zones map[string]string, n int) error {
	i := state.Intent{Kind: state.PinAccount, Subject: fmt.Sprint(n % pinnedAccounts), Regions: []string{"north"}}
	if n/pinnedAccounts%2 == 1 {
		i = state.Intent{Kind: state.UnpinAccount, Subject: i.Subject}
	}
	p := state.NewPlan(fmt.Sprintf("plan-%d", n), i, machine.Configuration(), state.Topology{Regions: zones}, state.CapacityReport{})
	if _, err := propose(node, state.Command{Plan: &p}); err != nil {
		return err
	}
	r, err := propose(node, state.Command{Confirm: &state.Confirm{
		ID: fmt.Sprintf("command-%d", n), Plan: p.ID, Digest: p.Digest, Operator: "bench", At: time.Now(),
	}})
	if err == nil && (r.Answer == nil || !r.Answer.Accepted) {
		err = errors.Newf("change %d was answered by %+v", n, r.Answer)
	}
	return err
}

// propose commits a command.
func propose(node *consensus.Node, c state.Command) (state.Result, error) {
	var r state.Result
	data, err := json.Marshal(c)
	if err != nil {
		return r, err
	}
	answer, err := node.Propose(context.Background(), data)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(answer, &r)
}

// leader returns the place of the control process that leads the ledger, once
// there is one.
func leader(r *cluster.RunningSystem) (int, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		for at, p := range r.Controls {
			groups, err := operator.NewClient("http://"+p.Operator.String(), cluster.OperatorKey).Replicas()
			if err != nil {
				continue
			}
			for _, g := range groups {
				if g.Group == "ledger" && g.Role == raft.Leader.String() {
					return at, nil
				}
			}
		}
	}
	return 0, errors.Newf("no leader in %s", startTimeout)
}
