// Package accesstest makes certificates for tests.
package accesstest
