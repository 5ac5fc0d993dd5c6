package account

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Account is a client account of a configuration.
type Account struct {
	// Name identifies the account to operators and backend servers.
	Name string
	// Keys are the digests of the keys of its callers.
	Keys []Digest
	// Priority is the rank of its requests, which goes before that of their routes; 0 is the
	// most urgent, nil means that the routes alone decide.
	Priority *int
	// RatePerSecond and Burst limit its requests on all entries together: that many a second,
	// and at once as many as Burst beyond them. Without a positive rate there is no limit.
	RatePerSecond, Burst float64
	// HomeRegions are the only regions that may serve its requests; empty means any.
	HomeRegions []string
}

// Limited reports whether the account has a request limit.
func (a *Account) Limited() bool { return a.RatePerSecond > 0 }

// Check returns an error that names the first rule that the accounts break: each has a name of
// its own and keys that nobody else has. The error contains no key.
func Check(accounts []Account) error {
	names := map[string]bool{}
	holders := map[Digest]string{}
	for i := range accounts {
		a := &accounts[i]
		if a.Name == "" || names[a.Name] {
			return errors.Newf("client account %q is unnamed or declared twice", a.Name)
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if key == (Digest{}) {
				return errors.Newf("client account %q has an empty key", a.Name)
			}
			if holder, taken := holders[key]; taken {
				return errors.Newf("client accounts %q and %q share a key", holder, a.Name)
			}
			holders[key] = a.Name
		}
	}
	return nil
}

// Index looks up client accounts by their keys and names.
type Index struct {
	byKey  map[Digest]*Account
	byName map[string]*Account
}

// NewIndex indexes accounts that pass [Check] and must not change afterwards.
func NewIndex(accounts []Account) *Index {
	x := &Index{byKey: map[Digest]*Account{}, byName: map[string]*Account{}}
	for i := range accounts {
		a := &accounts[i]
		x.byName[a.Name] = a
		for _, key := range a.Keys {
			x.byKey[key] = a
		}
	}
	return x
}

// Empty reports whether there are no accounts.
func (x *Index) Empty() bool { return len(x.byName) == 0 }

// ByKey returns the account that holds the key with a digest, or nil.
func (x *Index) ByKey(key Digest) *Account {
	if a := x.byKey[key]; a != nil && slices.ContainsFunc(a.Keys, key.Equal) {
		return a
	}
	return nil
}

// ByName returns the account with a name, or nil.
func (x *Index) ByName(name string) *Account { return x.byName[name] }
