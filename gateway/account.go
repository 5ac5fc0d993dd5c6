package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/account"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
	"tanagerbarrow/verdict"
)

// The codes of refusals for which a client account is the reason.
const (
	// codeUnknownKey means that no client account holds the key, or that there is none.
	codeUnknownKey = "unknown_key"
	// codeKeyUncertain means that the entry can't tell whether the key is valid, because its
	// configuration may not be the newest.
	codeKeyUncertain = "key_uncertain"
	// codeNoHomeRegion means that the client account and the route have no home region in common.
	codeNoHomeRegion = "no_home_region"
)

// accountsInForce reports whether callers have client accounts, so that the entry alone says whose
// request a backend server receives.
func (g *Gateway) accountsInForce(x *route.Index) bool {
	return g.options.Settings.Features.ClientAccounts || x != nil && !x.Accounts().Empty()
}

// identify finds the caller's client account and removes the caller's key, and what it says about
// its account itself, from the request. Without client accounts it changes nothing.
func (g *Gateway) identify(k *callerRequest, x *route.Index) error {
	if !g.accountsInForce(x) {
		return nil
	}
	h := k.request.Header
	if values := h[g.options.Dialect.Key]; len(values) > 0 {
		k.key = presentedKey(values, g.options.Dialect.KeyScheme)
	}
	h.Del(g.options.Dialect.Key)
	h.Del(g.options.Dialect.ClientAccount)
	if x.Accounts().Empty() {
		return nil
	}
	if k.route.Public {
		k.key, k.route = account.Digest{}, k.route.WithAccount(nil)
		return nil
	}
	if !g.keysProven() {
		return unproven()
	}
	k.account = x.Accounts().ByKey(k.key)
	if k.account == nil {
		return g.unknownKey()
	}
	k.route = k.route.WithAccount(k.account)
	if !k.route.Servable() {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoHomeRegion,
			"client account %q and route %q have no home region in common", k.account.Name, k.route.Name)
	}
	return nil
}

// presentedKey returns the digest of the key in the values of the key header. Several values are
// no key, because servers and proxies differ in which of them holds.
func presentedKey(values []string, scheme string) account.Digest {
	if len(values) != 1 {
		return account.Digest{}
	}
	got, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(got, scheme) {
		return account.Digest{}
	}
	return account.DigestOf(strings.TrimSpace(key))
}

// errUnproven means that the configuration may not be the newest, so that a key that it holds may have been
// taken away.
var errUnproven = errors.New("the configuration may not be the newest")

// unproven returns the refusal of a request with a key for that reason.
func unproven() error {
	return verdict.Wrap(errUnproven, verdict.NotRun, http.StatusServiceUnavailable, codeKeyUncertain, "check the key")
}

// unknownKey returns the refusal of a request whose key is in no client account. Only an entry that
// hears from the broker can say that the key is wrong: to another one it may be too new.
func (g *Gateway) unknownKey() error {
	if g.session.inTouch() && (!g.proofsNeeded() || g.session.currency.within(g.options.Settings.Bounds.ConfigurationApply)) {
		return verdict.New(verdict.NotRun, http.StatusUnauthorized, codeUnknownKey, "no client account holds the key")
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeKeyUncertain,
		"no client account holds the key, but the configuration may not be the newest")
}

// checkAccount returns the refusal of a request whose key has lost its client account since the
// request arrived. It is asked before each attempt and right before its first byte.
func (g *Gateway) checkAccount(k *callerRequest) error {
	if k.account == nil {
		return nil
	}
	if !g.keysProven() {
		return unproven()
	}
	if a := g.view.configuration().Accounts().ByKey(k.key); a == nil || a.Name != k.account.Name {
		return g.unknownKey()
	}
	return nil
}

// refusalStatus returns the status for a refusal of the broker.
func refusalStatus(reason broker.Reason) int {
	if reason == broker.ReasonAccountLimit {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// accountName returns the name of the caller's client account; empty if there is none.
func (k *callerRequest) accountName() string {
	if k.account == nil {
		return ""
	}
	return k.account.Name
}

// identifyRelayed reads the name of the client account that another entry has found for a request.
// It refuses requests with a key: the other entry is of a build that checks none.
func (g *Gateway) identifyRelayed(k *callerRequest) error {
	h := k.request.Header
	version := h.Get(headerRelayVersion)
	h.Del(headerRelayVersion)
	if !g.accountsInForce(g.view.configuration()) {
		return nil
	}
	if h.Get(g.options.Dialect.Key) != "" {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRelayFailed, "a relayed request has a key")
	}
	if k.relayedAccount = h.Get(g.options.Dialect.ClientAccount); k.relayedAccount != "" {
		if err := g.checkRelayed(k, version); err != nil {
			return err
		}
	}
	h.Del(g.options.Dialect.ClientAccount)
	return nil
}

// checkRelayed returns the refusal of a request with a client account that another entry has identified by the
// configuration of a version. If this entry has a newer one, the key may be gone.
func (g *Gateway) checkRelayed(k *callerRequest, version string) error {
	n, err := strconv.ParseUint(version, 10, 64)
	if err == nil && n >= g.view.version() && g.keysProven() {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRelayFailed,
		"the key of client account %q was checked by version %q, and may be gone", k.relayedAccount, version)
}
