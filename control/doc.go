// Package control implements a control process. It connects the replicas of the
// configuration and of the ledgers, the operator API, and the distribution of
// configurations to entries.
package control
