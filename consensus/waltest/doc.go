// Package waltest has a file system in memory that loses what is not synced.
package waltest
