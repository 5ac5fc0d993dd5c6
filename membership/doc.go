// Package membership knows the backend servers: who announced itself, in which
// generation and state, and until when its lease lasts.
//
// A record of an older generation never replaces one of a newer generation,
// and a backend server that leaves stays gone for its generation.
package membership
