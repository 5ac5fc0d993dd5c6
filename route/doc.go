// Package route holds the routing configuration, which operators always declare as
// a whole: which requests go to which service, and under which limits. The package
// does no I/O.
package route
