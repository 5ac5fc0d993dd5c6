package broker

import (
	"math"

	"tanagerbarrow/account"
)

// Fair shares between the client accounts of a service, for the load in which some accounts send
// many times their usual while slots are scarce: they wait behind their own requests, and the
// others are served as before. The scheme is start-time fair queuing (Goyal, Vin and Cheng,
// "Start-time Fair Queuing: A Scheduling Algorithm for Integrated Services Packet Switching
// Networks", SIGCOMM 1996). Each request of an account has a start tag in virtual time, one
// request's share behind that of the request before it, and lower tags go first. Virtual time is
// the highest tag that was granted, so that an account that was idle saves nothing up, and one
// that used slots that nobody else wanted owes nothing.

// maxWeight and its inverse bound an account's share relative to the mean. Limits may differ by any
// factor, but one request must not move the virtual time beyond all others'.
const maxWeight = 16

// maxFairShares bounds the accounts that a service remembers; those beyond it have no claim
// from earlier requests.
const maxFairShares = 10_000

// fairShares holds the virtual time of one service.
type fairShares struct {
	virtualTime float64
	// finish holds, by account, the tag of its next request. Tags up to the virtual time are
	// forgotten, since they say nothing more.
	finish map[string]float64
}

// tag returns the start tag of an account's next request; 0 for a request without account.
func (f *fairShares) tag(account string) float64 {
	if account == "" {
		return 0
	}
	return math.Max(f.virtualTime, f.finish[account])
}

// charge counts a request of an account with the given start tag. weight is the account's share
// relative to the mean.
func (f *fairShares) charge(account string, tag, weight float64) {
	if account == "" {
		return
	}
	if len(f.finish) >= maxFairShares {
		f.forget()
	}
	if f.finish == nil {
		f.finish = map[string]float64{}
	}
	f.finish[account] = math.Max(f.finish[account], tag) + 1/weight
}

// giveBack takes back the charge of a request that was not granted.
func (f *fairShares) giveBack(account string, weight float64) {
	if tag, ok := f.finish[account]; ok {
		f.finish[account] = tag - 1/weight
	}
}

// granted advances the virtual time to the tag of a granted request.
func (f *fairShares) granted(tag float64) { f.virtualTime = math.Max(f.virtualTime, tag) }

// forget drops the tags that say nothing more, or all if that frees nothing.
func (f *fairShares) forget() {
	for account, tag := range f.finish {
		if tag <= f.virtualTime {
			delete(f.finish, account)
		}
	}
	if len(f.finish) >= maxFairShares {
		clear(f.finish)
	}
}

// accountWeight returns the share of an account relative to the mean: in proportion to the request
// limits that operators have declared, which say what each account may count on. An
// account without a limit has the mean share.
func (b *Broker) accountWeight(name string) float64 {
	if b.meanAccountRate == 0 {
		return 1
	}
	if a := b.index.Accounts().ByName(name); a != nil && a.Limited() {
		return min(max(a.RatePerSecond/b.meanAccountRate, 1.0/maxWeight), maxWeight)
	}
	return 1
}

// meanRate returns the mean request limit of the accounts that have one, in requests per second; 0
// if there is none.
func meanRate(accounts []account.Account) float64 {
	sum, n := 0.0, 0
	for i := range accounts {
		if accounts[i].Limited() {
			sum += accounts[i].RatePerSecond
			n++
		}
	}
	return sum / float64(max(n, 1))
}
