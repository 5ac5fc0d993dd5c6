// Package entry assembles an entry process from its parts: the HTTP front end for
// callers, the handler of backend servers' announcements, the exchange with peers
// and the replication of the configuration.
package entry
