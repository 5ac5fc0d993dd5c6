package waltest

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"tanagerbarrow/consensus/wal"
)

// Op is the kind of an operation that is passed to a [Hook].
type Op string

// The operations that are passed to a [Hook].
const (
	OpWrite  Op = "write"
	OpSync   Op = "sync"
	OpRename Op = "rename"
)

// Hook is called before and after an operation on a path. An error before the
// operation prevents it; an error after it is returned although the operation
// was executed. A hook may block.
type Hook func(op Op, path string, after bool) error

// inode is the current and the synced content of a file.
type inode struct {
	data, synced []byte
}

// FS is an in-memory file system. It is safe for concurrent use.
type FS struct {
	mu sync.Mutex
	// names maps the current paths to files; durable contains those that
	// survive a crash.
	names, durable map[string]*inode
	hook           Hook
}

// New returns an empty file system.
func New() *FS { return &FS{names: map[string]*inode{}, durable: map[string]*inode{}} }

// SetHook sets the hook; nil removes it.
func (f *FS) SetHook(h Hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = h
}

// Crash returns the file system as it is after a crash: synced content under
// synced names. Of a file's unsynced tail the first keep(tail) bytes survive,
// where tail is its length and keep returns a number from 0 to tail.
func (f *FS) Crash(keep func(tail int) int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashed := New()
	for path, n := range f.durable {
		data := slices.Clone(n.synced)
		if tail := len(n.data) - len(n.synced); tail > 0 {
			data = append(data, n.data[len(n.synced):len(n.synced)+keep(tail)]...)
		}
		kept := &inode{data: data, synced: slices.Clone(data)}
		crashed.names[path], crashed.durable[path] = kept, kept
	}
	return crashed
}

// LoseTail is a keep function for [FS.Crash] that discards all unsynced data.
func LoseTail(int) int { return 0 }

// TearTail returns a keep function for [FS.Crash] that keeps a random part of
// the unsynced data.
func TearTail(random *rand.Rand) func(int) int {
	return func(tail int) int { return random.IntN(tail + 1) }
}

// withHook executes an operation and calls the hook before and after it.
func (f *FS) withHook(op Op, path string, do func()) error {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		if err := hook(op, path, false); err != nil {
			return err
		}
	}
	f.mu.Lock()
	do()
	f.mu.Unlock()
	if hook != nil {
		return hook(op, path, true)
	}
	return nil
}

// ModifyFile replaces the content of a file by the result of edit, and marks it
// as synced.
func (f *FS) ModifyFile(path string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	n.data = edit(slices.Clone(n.data))
	n.synced = slices.Clone(n.data)
}

// MkdirAll does nothing, because files need no existing folder.
func (f *FS) MkdirAll(string) error { return nil }

// OpenAppend opens a file for appending.
func (f *FS) OpenAppend(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	if n == nil {
		n = &inode{}
		f.names[path] = n
	}
	return &file{fs: f, path: path, node: n}, nil
}

// ReadFile returns a file's content.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	if n == nil {
		return nil, &os.PathError{Op: "read", Path: path, Err: os.ErrNotExist}
	}
	return slices.Clone(n.data), nil
}

// ReadDir returns the names in a folder, sorted.
func (f *FS) ReadDir(folder string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for path := range f.names {
		if filepath.Dir(path) == filepath.Clean(folder) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	return f.withHook(OpRename, to, func() {
		f.names[to] = f.names[from]
		delete(f.names, from)
	})
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, path)
	return nil
}

// SyncDir makes the names in a folder durable.
func (f *FS) SyncDir(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	inside := func(path string, _ *inode) bool { return filepath.Dir(path) == filepath.Clean(folder) }
	maps.DeleteFunc(f.durable, inside)
	for path, n := range f.names {
		if inside(path, n) {
			f.durable[path] = n
		}
	}
	return nil
}

// file is an open file.
type file struct {
	fs   *FS
	path string
	node *inode
}

// Write appends data.
func (f *file) Write(data []byte) (int, error) {
	err := f.fs.withHook(OpWrite, f.path, func() { f.node.data = append(f.node.data, data...) })
	return len(data), err
}

// Sync makes the content durable.
func (f *file) Sync() error {
	return f.fs.withHook(OpSync, f.path, func() { f.node.synced = slices.Clone(f.node.data) })
}

// Truncate shortens the file.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.node.data = f.node.data[:size]
	f.node.synced = f.node.synced[:min(size, int64(len(f.node.synced)))]
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
