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

// Op is an operation that a [Hook] sees.
type Op string

// The operations that a [Hook] sees.
const (
	OpWrite  Op = "write"
	OpSync   Op = "sync"
	OpRename Op = "rename"
)

// Hook is called before and after an operation on a path. An error before it
// makes the operation fail; one after it makes it fail although it happened. A
// hook may block.
type Hook func(op Op, path string, after bool) error

// inode is the content of a file.
type inode struct {
	data, synced []byte
}

// FS is a file system in memory. It is safe for concurrent use.
type FS struct {
	mu sync.Mutex
	// names are the current names, durable those that survive a crash.
	names, durable map[string]*inode
	hook           Hook
}

// New returns an empty file system.
func New() *FS { return &FS{names: map[string]*inode{}, durable: map[string]*inode{}} }

// SetHook sets the hook; nil sets none.
func (f *FS) SetHook(h Hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = h
}

// Crash returns what is left after a crash: synced content under synced names,
// and of a file's unsynced tail as many bytes as keep says, from 0 to the
// tail's length.
func (f *FS) Crash(keep func(tail int) int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := New()
	for path, n := range f.durable {
		data := slices.Clone(n.synced)
		if tail := len(n.data) - len(n.synced); tail > 0 {
			data = append(data, n.data[len(n.synced):len(n.synced)+keep(tail)]...)
		}
		kept := &inode{data: data, synced: slices.Clone(data)}
		left.names[path], left.durable[path] = kept, kept
	}
	return left
}

// LoseTail is a keep function for [FS.Crash] that keeps nothing unsynced.
func LoseTail(int) int { return 0 }

// TearTail returns a keep function for [FS.Crash] that keeps a random part.
func TearTail(random *rand.Rand) func(int) int {
	return func(tail int) int { return random.IntN(tail + 1) }
}

// around calls the hook before and after an operation.
func (f *FS) around(op Op, path string, do func()) error {
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

// Change replaces the content of a file, synced, by what edit makes of it.
func (f *FS) Change(path string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	n.data = edit(slices.Clone(n.data))
	n.synced = slices.Clone(n.data)
}

// MkdirAll does nothing: folders need not be made.
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
	return f.around(OpRename, to, func() {
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
	err := f.fs.around(OpWrite, f.path, func() { f.node.data = append(f.node.data, data...) })
	return len(data), err
}

// Sync makes the content durable.
func (f *file) Sync() error {
	return f.fs.around(OpSync, f.path, func() { f.node.synced = slices.Clone(f.node.data) })
}

// Truncate cuts the file.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.node.data = f.node.data[:size]
	f.node.synced = f.node.synced[:min(size, int64(len(f.node.synced)))]
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
