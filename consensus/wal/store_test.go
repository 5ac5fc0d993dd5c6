package wal_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/consensus/waltest"
)

// init makes the random schedules reproducible; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// folder is the replica's folder in the tests.
const folder = "/data/group"

// sequentialIDs returns a function that generates replica IDs from 101 on and
// counts its calls.
func sequentialIDs(generated *int) func() raft.ReplicaID {
	return func() raft.ReplicaID {
		*generated++
		return raft.ReplicaID(100 + *generated)
	}
}

// open opens the store or fails the test.
func open(t rapid.TB, fs wal.FS) (*wal.Store, *wal.Recovered) {
	t.Helper()
	generated := 0
	s, recovered, err := wal.Open(fs, folder, sequentialIDs(&generated))
	if err != nil {
		t.Fatal(err)
	}
	return s, recovered
}

// batch returns a Ready with entries of one term and a hard state.
func batch(term, first, last uint64) raft.Ready {
	r := raft.Ready{HardState: &raft.HardState{Term: term, Vote: 1}}
	for index := first; index <= last; index++ {
		r.Entries = append(r.Entries, raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d.%d", term, index)})
	}
	return r
}

// TestSyncedStateSurvivesCrashes compares the store with a model over random
// saves, local snapshots, installed snapshots, and crashes that tear the last
// write.
func TestSyncedStateSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		fs := waltest.New()
		store, want := open(t, fs)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if random.IntN(4) > 0 {
				next, err := randomSave(random, store, *want)
				if err != nil {
					t.Fatal(err)
				}
				want = &next
				continue
			}
			crashed := errors.New("crashed")
			at := random.IntN(4)
			fs.SetHook(func(waltest.Op, string, bool) error {
				if at--; at < 0 {
					return crashed
				}
				return nil
			})
			next, err := randomSave(random, store, *want)
			fs = fs.Crash(waltest.TearTail(random))
			var got *wal.Recovered
			store, got = open(t, fs)
			got.CutBytes = 0
			lost := err != nil && cmp.Equal(got, want, cmpopts.EquateEmpty())
			if diff := cmp.Diff(&next, got, cmpopts.EquateEmpty()); diff != "" && !lost {
				t.Fatalf("after a crash the folder holds neither the old nor the new state: %s", diff)
			}
			want = got
		}
	})
}

// randomSave executes a random operation and returns the expected state after
// it.
func randomSave(random *rand.Rand, s *wal.Store, now wal.Recovered) (wal.Recovered, error) {
	next := now
	kept := len(now.Entries)
	last := now.Snapshot.Meta.Last.Index + uint64(kept)
	term := now.HardState.Term + uint64(random.IntN(2))
	switch kind := random.IntN(5); {
	case kind == 0:
		next.Snapshot = raft.Snapshot{
			Meta: raft.SnapshotMeta{Last: raft.EntryID{Index: last + 3, Term: term}}, Data: []byte("state"),
		}
		next.Entries = nil
		return next, s.Save(raft.Ready{Snapshot: &next.Snapshot})
	case kind == 1 && kept > 0:
		n := 1 + random.IntN(kept)
		e := now.Entries[n-1]
		next.Snapshot = raft.Snapshot{
			Meta: raft.SnapshotMeta{Last: raft.EntryID{Index: e.Index, Term: e.Term}}, Data: []byte("mine"),
		}
		next.Entries = now.Entries[n:]
		if err := s.SaveSnapshot(next.Snapshot); err != nil {
			return next, err
		}
		return next, s.Trim(e.Index)
	default:
		cut := random.IntN(kept + 1)
		first := last + 1 - uint64(cut)
		r := batch(term, first, first+uint64(random.IntN(5)))
		next.HardState = *r.HardState
		next.Entries = append(slices.Clone(now.Entries[:kept-cut]), r.Entries...)
		return next, s.Save(r)
	}
}

// TestTornTailAndCorruption checks that a torn tail is cut off and that any
// other damage is reported with the file and the offset.
func TestTornTailAndCorruption(t *testing.T) {
	const log = folder + "/log-0000000000000001"
	firstEnd := 0
	cases := []struct {
		name   string
		path   string
		edit   func([]byte) []byte
		offset int
		cut    bool
	}{
		{"torn tail", log, func(d []byte) []byte { return d[:len(d)-3] }, 0, true},
		{"torn header", log, func(d []byte) []byte { return append(d, 1, 2, 3) }, 0, true},
		{"zeros after the tail", log, func(d []byte) []byte { return append(d, make([]byte, 100)...) }, 0, true},
		{"damaged middle", log, func(d []byte) []byte { d[firstEnd+20] ^= 1; return d }, 1, false},
		{"damaged length", log, func(d []byte) []byte { d[firstEnd] ^= 1; return d }, 1, false},
		{"damaged identity", folder + "/identity", func(d []byte) []byte { d[17] ^= 1; return d }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := waltest.New()
			s, _ := open(t, fs)
			head, _ := fs.ReadFile(log)
			firstEnd = len(head)
			for i := range uint64(3) {
				if err := s.Save(batch(1, i+1, i+1)); err != nil {
					t.Fatal(err)
				}
			}
			fs.ModifyFile(c.path, c.edit)
			_, recovered, err := wal.Open(fs, folder, func() raft.ReplicaID { return 9 })
			if c.cut {
				if err != nil || recovered.CutBytes == 0 || len(recovered.Entries) < 2 {
					t.Fatalf("a torn tail was not cut off: %+v, %v", recovered, err)
				}
				return
			}
			var corrupt *wal.CorruptError
			if !errors.As(err, &corrupt) || corrupt.File != c.path || corrupt.Offset != c.offset*firstEnd {
				t.Fatalf("got error %v, want one at offset %d of %s", err, c.offset*firstEnd, c.path)
			}
		})
	}
}

// TestMissingFilesAreRefused checks that a folder without its identity file or
// with a missing segment cannot be opened.
func TestMissingFilesAreRefused(t *testing.T) {
	for _, name := range []string{"identity", "log-0000000000000001"} {
		fs := waltest.New()
		s, _ := open(t, fs)
		for i := range uint64(3) {
			r := batch(1, i+1, i+1)
			if i == 0 {
				r.Entries[0].Data = make([]byte, 6500000)
			}
			if err := s.Save(r); err != nil {
				t.Fatal(err)
			}
		}
		if err := fs.Remove(folder + "/" + name); err != nil {
			t.Fatal(err)
		}
		if _, _, err := wal.Open(fs, folder, func() raft.ReplicaID { return 9 }); err == nil {
			t.Fatalf("a folder without %s was opened", name)
		}
	}
}

// TestReplicaIDIsGeneratedOnce checks that only an empty folder gets a new
// replica ID, also on the operating system's files.
func TestReplicaIDIsGeneratedOnce(t *testing.T) {
	at, generated := t.TempDir()+"/group", 0
	for range 3 {
		s, recovered, err := wal.Open(wal.OS{}, at, sequentialIDs(&generated))
		if err != nil || recovered.ID != 101 || generated != 1 {
			t.Fatalf("replica ID of %v after %d calls of newID: %v", recovered, generated, err)
		}
		next := uint64(len(recovered.Entries)) + 1
		if err := errors.Join(s.Save(batch(1, next, next)), s.Close()); err != nil {
			t.Fatal(err)
		}
	}
}
