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

// pinnedAccounts is the number of client accounts that the changes pin and unpin
// in turn.
const pinnedAccounts = 200

// MeasureRestart writes accepted changes to the data folder of a control process
// and measures the time from its start until its API reports the last version.
func MeasureRestart(binary string, changes int) (time.Duration, error) {
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return 0, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	written, err := cluster.WriteSettings(folder, clusterSize(1))
	if err != nil {
		return 0, err
	}
	p := written.Controls[0]
	version, err := writeChanges(filepath.Join(folder, p.Name, control.GroupConfiguration), p, written.Zones, changes)
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
		time.Sleep(pollInterval)
	}
	return 0, errors.Newf("the control process did not report version %d within %s", version, startTimeout)
}

// unsyncedFS is the file system of the operating system without syncs. They are
// not needed, because the folder is read by a process on the same machine.
type unsyncedFS struct{ wal.OS }

// unsyncedFile is a file whose Sync does nothing.
type unsyncedFile struct{ wal.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// OpenAppend opens a file for appending without syncs.
func (u unsyncedFS) OpenAppend(path string) (wal.File, error) {
	f, err := u.OS.OpenAppend(path)
	return unsyncedFile{f}, err
}

// noTransport is a transport without peers, because the group has one voter.
type noTransport struct{}

// Send drops the message.
func (noTransport) Send(raft.Member, consensus.Envelope) {}

// Call returns [consensus.ErrNotConnected].
func (noTransport) Call(context.Context, raft.Member, consensus.Request) (consensus.Response, error) {
	return consensus.Response{}, consensus.ErrNotConnected
}

// writeChanges commits changes to a replica whose data is in the given folder and
// returns the last version.
func writeChanges(folder string, p cluster.Process, zones map[string]string, changes int) (uint64, error) {
	if err := os.MkdirAll(filepath.Dir(folder), 0o700); err != nil {
		return 0, errors.Wrap(err, "create the data folder")
	}
	machine := state.NewMachine()
	node, err := consensus.Open(consensus.Options{
		Group: control.GroupConfiguration, Name: p.Name, Folder: folder, FS: unsyncedFS{}, Machine: machine,
		Hosts:     []raft.Member{{Name: p.Name, Address: p.Peer.String()}},
		Transport: noTransport{}, Log: zerolog.Nop(),
	})
	if err != nil {
		return 0, err
	}
	for n := range changes {
		if err := commitChange(node, machine, zones, n); err != nil {
			return 0, errors.CombineErrors(err, node.Close())
		}
	}
	return machine.Configuration().Version, node.Close()
}

// commitChange plans and confirms the n-th change: it pins or unpins an account.
func commitChange(node *consensus.Node, machine *state.Machine, zones map[string]string, n int) error {
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
		err = errors.Newf("change %d was not accepted: %+v", n, r.Answer)
	}
	return err
}

// propose commits a command and returns its result.
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

// awaitLeader waits until the ledger has a leader and returns the index of its
// control process.
func awaitLeader(r *cluster.RunningSystem) (int, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for i, p := range r.Controls {
			groups, err := operator.NewClient("http://"+p.Operator.String(), cluster.OperatorKey).Replicas()
			if err != nil {
				continue
			}
			for _, g := range groups {
				if g.Group == "ledger" && g.Role == raft.Leader.String() {
					return i, nil
				}
			}
		}
	}
	return 0, errors.Newf("the ledger has no leader after %s", startTimeout)
}
