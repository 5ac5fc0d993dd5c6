// Package waltest provides an in-memory file system that simulates crashes,
// which lose what was not synced.
package waltest
