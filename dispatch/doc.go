// Package dispatch sends one classified request to a backend server. It chooses
// the server, sends the request, retries within the budget, and claims orders in
// the ledger.
package dispatch
