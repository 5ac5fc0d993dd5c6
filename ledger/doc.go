// Package ledger ensures that an order runs at most once: before the first byte of
// the order is sent to a backend server, its idempotency key is claimed in a
// durable, replicated log. Each request of a caller for an order is one arrival,
// with a token of its own; arrivals with the same key are for the same order.
package ledger
