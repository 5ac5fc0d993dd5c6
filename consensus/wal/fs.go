package wal

import (
	"io"
	"os"
)

// The permissions of files and folders.
const (
	filePermission   = 0o600
	folderPermission = 0o700
)

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync makes the written data durable.
	Sync() error
	// Truncate shortens the file to a size, in bytes; later writes append to
	// it.
	Truncate(size int64) error
	// Close closes the file.
	Close() error
}

// FS is the part of a file system that a [Store] uses. Creating, renaming or
// removing a name is durable after SyncDir of its folder.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// OpenAppend opens a file for appending, and creates it if it does not
	// exist.
	OpenAppend(path string) (File, error)
	// ReadFile returns a file's content.
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a folder, sorted.
	ReadDir(folder string) ([]string, error)
	// Rename renames a file and replaces an existing target.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(folder string) error
}

// OS is the operating system's file system.
type OS struct{}

// MkdirAll creates a folder and its parents.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderPermission) }

// OpenAppend opens a file for appending.
func (OS) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePermission)
}

// ReadFile returns a file's content.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the names in a folder, sorted.
func (OS) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a folder durable.
func (OS) SyncDir(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
