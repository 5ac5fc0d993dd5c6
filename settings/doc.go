// Package settings reads and checks the INI settings of a process.
//
// [Load] reports every fault of a file at once, each with file, section and
// key, so that an operator mends a file in one round.
package settings
