// Package caller is the HTTP front for callers: it classifies a request,
// bounds it by a deadline, and returns the whole answer with its verdict.
package caller
