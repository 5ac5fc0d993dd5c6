// Package ledger makes an order run at most once: its idempotency key is
// claimed, durably and replicated, before the first byte goes to a backend
// server.
package ledger
