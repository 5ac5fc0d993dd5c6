package broker

import "time"

// The estimation of network delays.
const (
	// initialZoneDelay and initialRegionDelay are the one-way delays to another availability
	// zone and to another region that are assumed until exchanges have been measured.
	initialZoneDelay   = time.Millisecond
	initialRegionDelay = 8 * time.Millisecond
	// initialHandling is the time between a grant's arrival at the entry and the sending of its
	// request that is assumed until exchanges have been measured.
	initialHandling = 2 * time.Millisecond
	// delayStep is by how much one exchange moves an estimate. Steps of a constant size make the
	// estimate follow the median: exchanges that wait behind a body on a thin link don't count
	// by their length.
	delayStep = 100 * time.Microsecond
	// maxMeasuredDelay bounds the estimates.
	maxMeasuredDelay = 500 * time.Millisecond
)

// delays estimates how long messages take between the broker, the entries and the backend servers,
// from what grants take beyond the requests that they allow. It measures the network between the
// broker and the entries, and assumes that zones and regions lie equally far apart.
type delays struct {
	regions map[string]string
	zone    string
	// exchange holds, by the entry's availability zone, the median time from a grant to the
	// arrival of its release, without the request in between: both ways and the handling.
	exchange map[string]time.Duration
	// near and far are the mean one-way delays to the measured zones of the broker's region and
	// of other regions; 0 until there is one.
	near, far time.Duration
}

// newDelays returns the initial estimates of a broker in a zone.
func newDelays(regions map[string]string, zone string) *delays {
	return &delays{regions: regions, zone: zone, exchange: map[string]time.Duration{}}
}

// observe records the time from a grant to an entry of a zone until the arrival of its release,
// without the time of the request.
func (d *delays) observe(zone string, took time.Duration) {
	if took < 0 || took > maxMeasuredDelay {
		return
	}
	estimate := d.exchangeWith(zone)
	if took > estimate {
		estimate = min(took, estimate+delayStep)
	} else {
		estimate = max(took, estimate-delayStep)
	}
	d.exchange[zone] = estimate
	d.near, d.far = d.meanDelay(true), d.meanDelay(false)
}

// meanDelay returns the mean one-way delay from the broker's zone to the measured ones of its
// region, or to those of other regions; 0 if there is none.
func (d *delays) meanDelay(inRegion bool) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for zone := range d.exchange {
		if zone != d.zone && (d.regions[zone] == d.regions[d.zone]) == inRegion {
			sum, n = sum+d.fromBroker(zone), n+1
		}
	}
	return sum / max(n, 1)
}

// exchangeWith returns the time of an exchange with an entry of a zone, without the request in
// between.
func (d *delays) exchangeWith(zone string) time.Duration {
	if measured, ok := d.exchange[zone]; ok {
		return measured
	}
	return 2*d.initialOneWay(d.zone, zone) + initialHandling
}

// message returns how long a message takes between the broker and an entry of a zone, with its
// handling at both ends.
func (d *delays) message(zone string) time.Duration { return d.exchangeWith(zone) / 2 }

// oneWay returns the network delay from one availability zone to another.
func (d *delays) oneWay(from, to string) time.Duration {
	mean := d.far
	if d.regions[from] == d.regions[to] {
		mean = d.near
	}
	switch {
	case from == to:
		return 0
	case from == d.zone:
		return d.fromBroker(to)
	case to == d.zone:
		return d.fromBroker(from)
	case mean > 0:
		return mean
	default:
		return d.initialOneWay(from, to)
	}
}

// fromBroker returns the network delay between the broker's zone and another one.
func (d *delays) fromBroker(zone string) time.Duration {
	measured, ok := d.exchange[zone]
	if !ok {
		return d.initialOneWay(d.zone, zone)
	}
	return max(0, measured-d.exchangeWith(d.zone)) / 2
}

// initialOneWay is the network delay that is assumed before anything was measured.
func (d *delays) initialOneWay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.regions[from] == d.regions[to]:
		return initialZoneDelay
	default:
		return initialRegionDelay
	}
}
