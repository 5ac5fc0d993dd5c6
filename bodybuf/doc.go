// Package bodybuf holds the bodies of requests and responses in memory, within
// one budget for all bodies of a process.
package bodybuf
