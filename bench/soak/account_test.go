package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The client accounts of a run, and the bounds of the deployment's settings.
const (
	revocationTimeout = 5 * time.Second
	accountWindow     = 5 * time.Second
	limitedRate       = 40
	limitedBurst      = 20
	accountOvershoot  = 0.1
	accountSlack      = 20
	// revocableKey is held in some versions of the configuration only, and unknownKey in none.
	revocableKey, unknownKey = "acme-2", "stranger-1"
)

// accountKeys holds the keys that every version of the configuration has, by account.
var accountKeys = map[string]string{"acme": "acme-1", "western": "west-1", "limited": "limited-1"}

// holdsRevocableKey reports whether a version of the configuration holds revocableKey.
func holdsRevocableKey(version int) bool { return version/2%2 == 0 }

// accountsDocument returns the accounts of a version of the configuration.
func accountsDocument(version int) string {
	further := ""
	if holdsRevocableKey(version) {
		further = fmt.Sprintf(",%q", revocableKey)
	}
	return fmt.Sprintf(`[{"name":"acme","apiKeys":["acme-1"%s],"priority":1},
{"name":"western","apiKeys":["west-1"],"priority":1,"allowedRegions":["west"]},
{"name":"limited","apiKeys":["limited-1"],"priority":3,"ratePerS":%d,"burst":%d}]`, further, limitedRate, limitedBurst)
}

// accounts is what a run knows about the use of its accounts.
type accounts struct {
	mu sync.Mutex
	// revokedAt is when the newest version was acknowledged, if it doesn't hold revocableKey and no
	// version that does was sent since; else zero.
	revokedAt time.Time
	// limitedRuns are the times at which requests of the limited account ran.
	limitedRuns []time.Time
}

// sent records that a version of the configuration is sent.
func (a *accounts) sent(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holdsRevocableKey(version) {
		a.revokedAt = time.Time{}
	}
}

// acknowledged records that a version is in force.
func (a *accounts) acknowledged(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !holdsRevocableKey(version) && a.revokedAt.IsZero() {
		a.revokedAt = time.Now()
	}
}

// keyOf returns the key in a path below /account/; empty for all others.
func keyOf(path string) string {
	rest, below := strings.CutPrefix(path, "/account/")
	if !below {
		return ""
	}
	key, _, _ := strings.Cut(rest, "/")
	return key
}

// arrive checks a request with a key that a backend server runs in a zone: whose it is, where it
// runs, and that its key may still be used.
func (a *accounts) arrive(h *harness, r *http.Request, zone string) {
	key, now := keyOf(r.URL.Path), time.Now()
	name := ""
	for account, held := range accountKeys {
		if key == held || account == "acme" && key == revocableKey {
			name = account
		}
	}
	if got := r.Header.Values("Tenant"); name == "" || !slices.Equal(got, []string{name}) {
		h.fail("UNASKED: a request with key %s ran as %v", key, got)
	}
	if r.Header.Get("Authorization") != "" {
		h.fail("UNASKED: key %s reached a backend server", key)
	}
	if name == "western" && regionOf(zone) != "west" {
		h.fail("HOME: a request with key %s ran in zone %s", key, zone)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if key == revocableKey && !a.revokedAt.IsZero() && now.Sub(a.revokedAt) > revocationTimeout+requestSlack {
		h.fail("CONFIG: a request ran %s after its key was taken away", now.Sub(a.revokedAt))
	}
	if name == "limited" {
		a.limitedRuns = append(a.limitedRuns, now)
	}
}

// checkLimit checks that the limited account stayed within its limit in every window.
func (a *accounts) checkLimit(h *harness) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.limitedRuns, time.Time.Compare)
	allowed := int((limitedRate*accountWindow.Seconds()+limitedBurst)*(1+accountOvershoot) + accountSlack)
	first := 0
	for n, at := range a.limitedRuns {
		for at.Sub(a.limitedRuns[first]) > accountWindow {
			first++
		}
		if n-first+1 > allowed {
			h.fail("QUOTA: %d requests of the limited account ran within %s, allowed are %d", n-first+1, accountWindow, allowed)
			return
		}
	}
}

// useAccounts sends requests with the keys of all accounts and with an unknown one. A key that every
// version holds is never unknown; the limited account sends far more than its limit.
func useAccounts(h *harness, _ []*server, end time.Time) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n, key := range []string{"acme-1", "west-1", revocableKey, unknownKey, "limited-1", "limited-1", "limited-1"} {
		callers.Go(func() { h.sendTo(stop, "/account/"+key+"/x", 2000+n) })
	}
	time.Sleep(time.Until(end) + revocationTimeout)
	close(stop)
	callers.Wait()
	h.accounts.checkLimit(h)
}
