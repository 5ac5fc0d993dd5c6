// Package access authenticates callers of a process: it compares keys in
// constant time, counts refusals, and loads the TLS files of the data folder.
package access
