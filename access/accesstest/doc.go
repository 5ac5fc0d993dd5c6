// Package accesstest creates certificates for tests.
package accesstest
