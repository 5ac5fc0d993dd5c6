// Package broker decides which backend server runs which request, for the
// requests of all entries. One process at a time is the broker of a deployment,
// as proved by a lease of the replicated log; entries ask it for a grant before
// they send a request to a backend server.
//
// Since one process sees all requests, it can handle these load patterns: the
// slots of servers that drop what they can't queue are never overbooked; servers
// whose speed changes within milliseconds are avoided while they are slow; under
// overload the requests that can still be in time go first, by priority, and the
// others are refused at once; requests to cold servers, retries and requests that
// crash servers are bounded over all entries.
//
// Decisions are deterministic: time and random numbers are passed in, and no call
// blocks.
package broker
