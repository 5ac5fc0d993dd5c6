package protocol

import "time"

// CurrencyQuery is the content of [KindCurrencyQuery].
type CurrencyQuery struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Stamp is when the entry sent the query, by its own clock that counts suspensions.
	Stamp time.Duration
}

// Currency is the reply to a [CurrencyQuery].
type Currency struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Stamp is that of the query.
	Stamp time.Duration
	// Version is not below that of any configuration that was acknowledged before the query was
	// sent.
	Version uint64
}
