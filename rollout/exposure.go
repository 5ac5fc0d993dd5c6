package rollout

import "time"

// Parts of a service's requests that a new version may get while it is a canary.
const (
	// canaryShare is the part of all requests since this broker began to count that may go to the
	// new version, relative to the bound of the deployment. The rest is for requests on their way
	// when the verdict falls, and for the first responses after the switch.
	canaryShare = 0.7
	// earlyShare is the part of canaryShare that may be used before lateFrom. What it leaves is
	// used step by step until fullFrom, shortly before the switch, when a version that turns bad
	// late shows. With little traffic it is lowEarlyShare.
	earlyShare    = 0.65
	lowEarlyShare = 0.35
	lateFrom      = 0.55
	fullFrom      = 0.75
	// spreadShare is the part of the allowance that is used while requests are spread over all
	// new servers. The rest is used when they are grouped on few.
	spreadShare = 0.6
	// maxDrawnShare bounds the part of the requests of one route that is drawn at a time, so that
	// there is always a baseline to compare with.
	maxDrawnShare = 0.5
	// groupPeriod is how often requests are grouped, and groupLength for how long. With little
	// traffic it is lowTrafficPeriod, in which enough requests are saved to fill a server.
	groupPeriod      = 3 * time.Second
	groupLength      = time.Second
	lowTrafficPeriod = 6 * time.Second
	// rateKnownAfter is how long requests are counted before the traffic counts as little.
	rateKnownAfter = 2 * time.Second
	// lowTrafficRequests is the number of canary requests that the usual share would give in the
	// whole span below which a service has little traffic, and lowTrafficSlack the part of the
	// bound's slack that it may use then.
	lowTrafficRequests = 60
	lowTrafficSlack    = 0.7
	// blindSlack is the part of the slack that may be counted on when a service is switched with
	// little evidence, and blindGrowth by how much its requests may increase meanwhile.
	blindSlack = 0.9
	// blindUse is the part of what it might have got that a version must have got by then.
	blindUse    = 0.3
	blindGrowth = 1.5
	// lowTrafficSaved is the number of requests that are saved for the next group then.
	lowTrafficSaved = 6
	// maxCredit bounds the requests of a route that may be made up for.
	maxCredit = 3.0
)

// Bounds are the guarantees about the requests that reach a bad version: Share of the service's
// requests plus Slack.
type Bounds struct {
	Share float64
	Slack int
}

// Exposure counts the requests of a service and draws those that the new version gets.
type Exposure struct {
	bounds Bounds
	plan   Plan
	// complete says that all requests since the order have been counted.
	complete bool
	since    time.Time
	all      int
	canary   int
	routes   map[string]*routeShare
}

// routeShare is what one route has got of the canary's share.
type routeShare struct {
	requests int
	credit   float64
}

// NewExposure returns an exposure that counts from now. Complete says that this is the time
// of the order; else requests that were not counted may have used the slack.
func NewExposure(b Bounds, p Plan, complete bool, now time.Time) *Exposure {
	return &Exposure{bounds: b, plan: p, complete: complete, since: now, routes: map[string]*routeShare{}}
}

// Counts returns the numbers of counted requests and of those among them that the new version
// got.
func (x *Exposure) Counts() (all, canary int) { return x.all, x.canary }

// Count counts a request that was granted a server. Retries don't widen the exposure.
func (x *Exposure) Count(canary, retry bool) {
	if !retry {
		x.all++
	}
	if canary {
		x.canary++
	}
}

// lowTraffic reports whether the service has too few requests to judge by the usual share.
func (x *Exposure) lowTraffic(now time.Time) bool {
	elapsed := now.Sub(x.since)
	if elapsed < rateKnownAfter {
		return false
	}
	expected := float64(x.all) / elapsed.Seconds() * x.plan.Due.Sub(x.since).Seconds()
	return expected*x.bounds.Share*canaryShare*lateFrom < lowTrafficRequests
}

// allowance is the number of requests that the new version may have got by now.
func (x *Exposure) allowance(now time.Time) float64 {
	allowed := x.bounds.Share * canaryShare * float64(x.all)
	low := x.lowTraffic(now)
	if low && x.complete {
		allowed += lowTrafficSlack * float64(x.bounds.Slack)
	}
	early := earlyShare
	if low {
		early = lowEarlyShare
	}
	late := (x.plan.progress(now) - lateFrom) / (fullFrom - lateFrom)
	allowed *= early + (1-early)*min(max(late, 0), 1)
	if low && !x.Grouping(now) {
		// Requests are saved so that they can fill a server.
		allowed -= lowTrafficSaved
	}
	return allowed
}

// Grouping reports whether the canary's requests are to run on few servers now, so that a fault
// shows that only loaded servers have.
func (x *Exposure) Grouping(now time.Time) bool {
	period := groupPeriod
	if x.lowTraffic(now) {
		period = lowTrafficPeriod
	}
	return now.Sub(x.plan.Began)%period >= period-groupLength
}

// Draw reports whether a first attempt of a route is to go to the new version.
func (x *Exposure) Draw(route string, now time.Time) bool {
	r := x.routes[route]
	if r == nil {
		r = &routeShare{}
		x.routes[route] = r
	}
	r.requests++
	r.credit = min(r.credit+x.drawnShare(r, now), maxCredit)
	return r.credit >= 1 && float64(x.canary+1) <= x.allowance(now)
}

// Took records that a drawn request went to the new version.
func (x *Exposure) Took(route string) { x.routes[route].credit-- }

// drawnShare is the part of a route's requests that is drawn now. Half of the canary's requests
// are divided equally among the routes, so that a rare one gives evidence as well.
func (x *Exposure) drawnShare(r *routeShare, now time.Time) float64 {
	if x.Grouping(now) || x.lowTraffic(now) {
		return maxDrawnShare
	}
	share := x.bounds.Share * canaryShare
	if x.plan.progress(now) < lateFrom {
		share *= earlyShare * spreadShare
	} else {
		// What was saved is used until the switch.
		share *= 1 + (1-earlyShare)*lateFrom/(fullFrom-lateFrom)
	}
	total := 0
	for _, other := range x.routes {
		total += other.requests
	}
	equal := float64(total) / float64(len(x.routes)*r.requests)
	return min(share*(1+equal)/2, maxDrawnShare)
}

// FitsBlindly reports whether the new version would stay within the bound if it got all further
// requests until the due time, as it may in a service with very little traffic. It may not
// unless it has got its part so far: entries of an earlier build take no part in a canary.
func (x *Exposure) FitsBlindly(now time.Time) bool {
	elapsed := now.Sub(x.since).Seconds()
	if elapsed < rateKnownAfter.Seconds() || !x.complete || !x.lowTraffic(now) {
		return false
	}
	offered := min(x.allowance(now), maxDrawnShare*float64(x.all))
	rest := max(0, x.plan.Due.Sub(now).Seconds()) * float64(x.all) / elapsed
	return float64(x.canary) >= blindUse*offered &&
		float64(x.canary)+blindGrowth*rest <= blindSlack*float64(x.bounds.Slack)+x.bounds.Share*float64(x.all)
}
