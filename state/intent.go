package state

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// IntentKind names what an operator wants.
type IntentKind string

// The kinds of intents.
const (
	// AdmitService lets a service's backend servers receive requests.
	AdmitService IntentKind = "admit-service"
	// RetireService ends a service.
	RetireService IntentKind = "retire-service"
	// TakeZoneOut stops new work in an availability zone.
	TakeZoneOut IntentKind = "take-zone-out"
	// BringZoneBack lets an availability zone receive work again.
	BringZoneBack IntentKind = "bring-zone-back"
	// PinAccount ties a client account to home regions.
	PinAccount IntentKind = "pin-account"
	// UnpinAccount frees a client account.
	UnpinAccount IntentKind = "unpin-account"
	// PinRoute ties a path prefix to home regions.
	PinRoute IntentKind = "pin-route"
	// UnpinRoute frees a path prefix.
	UnpinRoute IntentKind = "unpin-route"
	// SetServiceLimits changes limits and budgets of a service.
	SetServiceLimits IntentKind = "set-service-limits"
	// ClearServiceLimits gives a service the defaults.
	ClearServiceLimits IntentKind = "clear-service-limits"
	// SetAccountLimits changes limits and the share of a client account.
	SetAccountLimits IntentKind = "set-account-limits"
	// ClearAccountLimits gives a client account the defaults.
	ClearAccountLimits IntentKind = "clear-account-limits"
)

// IntentKinds returns every kind of intent.
func IntentKinds() []IntentKind {
	return []IntentKind{
		AdmitService, RetireService, TakeZoneOut, BringZoneBack, PinAccount, UnpinAccount, PinRoute, UnpinRoute,
		SetServiceLimits, ClearServiceLimits, SetAccountLimits, ClearAccountLimits,
	}
}

// The largest sizes within an intent.
const (
	maxSubjectBytes = 512
	maxRegions      = 64
)

// Intent is one thing that an operator wants done.
type Intent struct {
	// Kind says what is wanted.
	Kind IntentKind `json:"kind"`
	// Subject is the service, availability zone, client account or path prefix.
	Subject string `json:"subject"`
	// Regions are the home regions of a pin.
	Regions []string `json:"regions,omitempty"`
	// ServiceLimits are the limits to change; the others stay.
	ServiceLimits *ServiceLimits `json:"service_limits,omitempty"`
	// AccountLimits are the limits to change; the others stay.
	AccountLimits *AccountLimits `json:"account_limits,omitempty"`
	// Force carries the intent out although some pinned requests would have no
	// home.
	Force bool `json:"force,omitempty"`
}

// Topology is the layout of the system's availability zones.
type Topology struct {
	// Regions maps each availability zone to its region.
	Regions map[string]string
}

// names returns the regions, sorted.
func (p Topology) names() []string {
	set := map[string]bool{}
	for _, region := range p.Regions {
		set[region] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// hasRegion reports whether an availability zone lies in the region.
func (p Topology) hasRegion(region string) bool {
	for _, r := range p.Regions {
		if r == region {
			return true
		}
	}
	return false
}

// Check returns an error if the intent makes no sense on the configuration.
func (i Intent) Check(c *Configuration, p Topology) error {
	if i.Subject == "" {
		return errors.Newf("intent %q names no subject", i.Kind)
	}
	if len(i.Subject) > maxSubjectBytes || len(i.Regions) > maxRegions {
		return errors.Newf("intent %q has a subject of %d bytes and %d regions, allowed are %d and %d",
			i.Kind, len(i.Subject), len(i.Regions), maxSubjectBytes, maxRegions)
	}
	switch i.Kind {
	case AdmitService, RetireService:
		return i.checkService(c)
	case TakeZoneOut, BringZoneBack:
		return i.checkZone(c, p)
	case PinAccount, PinRoute:
		return i.checkPin(p)
	case UnpinAccount:
		return i.checkPinned(c.AccountHomes)
	case UnpinRoute:
		return i.checkPinned(c.RouteHomes)
	case SetServiceLimits, ClearServiceLimits, SetAccountLimits, ClearAccountLimits:
		return i.checkLimits(c)
	default:
		return errors.Newf("intent %q is unknown", i.Kind)
	}
}

// checkService checks the intents about services.
func (i Intent) checkService(c *Configuration) error {
	_, admitted := c.Services[i.Subject]
	if strings.ContainsAny(i.Subject, "/ ") {
		return errors.Newf("service name %q contains a slash or a space", i.Subject)
	}
	if admitted && i.Kind == AdmitService {
		return errors.Newf("service %q is already admitted", i.Subject)
	}
	if !admitted && i.Kind == RetireService {
		return errors.Newf("service %q is not admitted", i.Subject)
	}
	return nil
}

// checkLimits checks the intents about limits.
func (i Intent) checkLimits(c *Configuration) error {
	_, admitted := c.Services[i.Subject]
	_, limited := c.AccountLimits[i.Subject]
	switch {
	case (i.Kind == SetServiceLimits || i.Kind == ClearServiceLimits) && !admitted:
		return errors.Newf("service %q is not admitted", i.Subject)
	case i.Kind == ClearAccountLimits && !limited:
		return errors.Newf("client account %q has no limits of its own", i.Subject)
	case i.Kind == SetServiceLimits && i.ServiceLimits == nil, i.Kind == SetAccountLimits && i.AccountLimits == nil:
		return errors.Newf("no limit of %q is given", i.Subject)
	case i.Kind == SetServiceLimits:
		return checkBounds(i.Subject, i.ServiceLimits.bounds())
	case i.Kind == SetAccountLimits:
		return checkBounds(i.Subject, i.AccountLimits.bounds())
	}
	return nil
}

// checkZone checks the intents about availability zones.
func (i Intent) checkZone(c *Configuration, p Topology) error {
	if _, ok := p.Regions[i.Subject]; !ok {
		return errors.Newf("availability zone %q does not exist", i.Subject)
	}
	out := c.ZonesOut[i.Subject]
	if out && i.Kind == TakeZoneOut {
		return errors.Newf("availability zone %q is already out", i.Subject)
	}
	if !out && i.Kind == BringZoneBack {
		return errors.Newf("availability zone %q is not out", i.Subject)
	}
	if i.Kind == TakeZoneOut && len(c.ZonesOut)+1 >= len(p.Regions) {
		return errors.Newf("availability zone %q is the last one in service", i.Subject)
	}
	return nil
}

// checkPin checks the home regions of a pin.
func (i Intent) checkPin(p Topology) error {
	if len(i.Regions) == 0 {
		return errors.Newf("pin of %q names no home region", i.Subject)
	}
	for _, region := range i.Regions {
		if !p.hasRegion(region) {
			return errors.Newf("pin of %q names region %q, which has no availability zone", i.Subject, region)
		}
	}
	if i.Kind == PinRoute && !strings.HasPrefix(i.Subject, "/") {
		return errors.Newf("route %q does not begin with a slash", i.Subject)
	}
	return nil
}

// checkPinned checks that there is a pin to remove.
func (i Intent) checkPinned(pins map[string][]string) error {
	if _, ok := pins[i.Subject]; !ok {
		return errors.Newf("%q is not pinned", i.Subject)
	}
	return nil
}

// apply returns the configuration with the intent carried out.
func (i Intent) apply(c *Configuration) *Configuration {
	next := c.clone()
	next.Version++
	switch i.Kind {
	case AdmitService:
		next.Services[i.Subject] = Service{Name: i.Subject}
	case RetireService:
		delete(next.Services, i.Subject)
	case TakeZoneOut:
		next.ZonesOut[i.Subject] = true
	case BringZoneBack:
		delete(next.ZonesOut, i.Subject)
	case PinAccount:
		next.AccountHomes[i.Subject] = i.Regions
	case UnpinAccount:
		delete(next.AccountHomes, i.Subject)
	case PinRoute:
		next.RouteHomes[i.Subject] = i.Regions
	case UnpinRoute:
		delete(next.RouteHomes, i.Subject)
	case SetServiceLimits, ClearServiceLimits, SetAccountLimits, ClearAccountLimits:
		i.applyLimits(next)
	}
	return next
}

// applyLimits carries out the intents about limits on a copy.
func (i Intent) applyLimits(next *Configuration) {
	switch {
	case i.Kind == SetServiceLimits && i.ServiceLimits != nil:
		s := next.Services[i.Subject]
		s.Limits = s.Limits.overlay(*i.ServiceLimits)
		next.Services[i.Subject] = s
	case i.Kind == ClearServiceLimits:
		next.Services[i.Subject] = Service{Name: i.Subject}
	case i.Kind == SetAccountLimits && i.AccountLimits != nil:
		next.AccountLimits[i.Subject] = next.AccountLimits[i.Subject].overlay(*i.AccountLimits)
	case i.Kind == ClearAccountLimits:
		delete(next.AccountLimits, i.Subject)
	}
}
