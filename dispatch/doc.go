// Package dispatch carries one classified request to a backend server: it
// picks the server, sends the request, retries within the budget, and claims
// orders in the ledger.
package dispatch
