// Package settings reads and validates the INI settings file of a process.
//
// [Load] reports all errors of a file at once, each with file, section and key,
// so that an operator can correct the file in one pass.
package settings
