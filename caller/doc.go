// Package caller implements the HTTP front end for callers. It classifies each
// request, bounds it by a deadline, and returns the complete answer with its
// verdict.
package caller
