package state

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// IntentKind identifies the change that an intent requests.
type IntentKind string

// The kinds of intents.
const (
	// AdmitService lets a service's backend servers receive requests.
	AdmitService IntentKind = "admit-service"
	// RetireService removes a service; its requests are then refused.
	RetireService IntentKind = "retire-service"
	// TakeZoneOut stops new work in an availability zone.
	TakeZoneOut IntentKind = "take-zone-out"
	// BringZoneBack lets an availability zone receive new work again.
	BringZoneBack IntentKind = "bring-zone-back"
	// PinAccount restricts a client account to home regions.
	PinAccount IntentKind = "pin-account"
	// UnpinAccount removes the pin of a client account.
	UnpinAccount IntentKind = "unpin-account"
	// PinRoute restricts a path prefix to home regions.
	PinRoute IntentKind = "pin-route"
	// UnpinRoute removes the pin of a path prefix.
	UnpinRoute IntentKind = "unpin-route"
	// SetServiceLimits changes limits and budgets of a service.
	SetServiceLimits IntentKind = "set-service-limits"
	// ClearServiceLimits resets a service to the default limits.
	ClearServiceLimits IntentKind = "clear-service-limits"
	// SetAccountLimits changes limits and the share weight of a client account.
	SetAccountLimits IntentKind = "set-account-limits"
	// ClearAccountLimits resets a client account to the default limits.
	ClearAccountLimits IntentKind = "clear-account-limits"
)

// IntentKinds returns all kinds of intents.
func IntentKinds() []IntentKind {
	return []IntentKind{
		AdmitService, RetireService, TakeZoneOut, BringZoneBack, PinAccount, UnpinAccount, PinRoute, UnpinRoute,
		SetServiceLimits, ClearServiceLimits, SetAccountLimits, ClearAccountLimits,
	}
}

// The size limits of an intent. maxSubjectBytes applies to the IDs of plans and
// commands as well.
const (
	maxSubjectBytes = 512
	maxRegions      = 64
)

// Intent is one change that an operator requests.
type Intent struct {
	// Kind is the requested change.
	Kind IntentKind `json:"kind"`
	// Subject is the service, availability zone, client account or path prefix.
	Subject string `json:"subject"`
	// Regions are the home regions of a pin.
	Regions []string `json:"regions,omitempty"`
	// ServiceLimits are the limits to change. Fields that are nil stay unchanged.
	ServiceLimits *ServiceLimits `json:"service_limits,omitempty"`
	// AccountLimits are the limits to change. Fields that are nil stay unchanged.
	AccountLimits *AccountLimits `json:"account_limits,omitempty"`
	// Force allows the intent although some pinned requests would have no
	// availability zone in service.
	Force bool `json:"force,omitempty"`
}

// Topology is the layout of the system's availability zones.
type Topology struct {
	// Regions maps each availability zone to its region.
	Regions map[string]string
}

// regionNames returns the names of the regions, sorted.
func (t Topology) regionNames() []string {
	set := map[string]bool{}
	for _, region := range t.Regions {
		set[region] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// hasRegion reports whether the region has an availability zone.
func (t Topology) hasRegion(region string) bool {
	for _, r := range t.Regions {
		if r == region {
			return true
		}
	}
	return false
}

// Check returns an error if the intent is invalid for the configuration.
func (i Intent) Check(c *Configuration, t Topology) error {
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
		return i.checkZone(c, t)
	case PinAccount, PinRoute:
		return i.checkPin(t)
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
func (i Intent) checkZone(c *Configuration, t Topology) error {
	if _, ok := t.Regions[i.Subject]; !ok {
		return errors.Newf("availability zone %q does not exist", i.Subject)
	}
	out := c.ZonesOut[i.Subject]
	if out && i.Kind == TakeZoneOut {
		return errors.Newf("availability zone %q is already out", i.Subject)
	}
	if !out && i.Kind == BringZoneBack {
		return errors.Newf("availability zone %q is not out", i.Subject)
	}
	if i.Kind == TakeZoneOut && len(c.ZonesOut)+1 >= len(t.Regions) {
		return errors.Newf("availability zone %q is the last one in service", i.Subject)
	}
	return nil
}

// checkPin checks the home regions of a pin.
func (i Intent) checkPin(t Topology) error {
	if len(i.Regions) == 0 {
		return errors.Newf("pin of %q names no home region", i.Subject)
	}
	for _, region := range i.Regions {
		if !t.hasRegion(region) {
			return errors.Newf("pin of %q names region %q, which has no availability zone", i.Subject, region)
		}
	}
	if i.Kind == PinRoute && !strings.HasPrefix(i.Subject, "/") {
		return errors.Newf("route %q does not begin with a slash", i.Subject)
	}
	return nil
}

// checkPinned checks that the pin to remove exists.
func (i Intent) checkPinned(pins map[string][]string) error {
	if _, ok := pins[i.Subject]; !ok {
		return errors.Newf("%q is not pinned", i.Subject)
	}
	return nil
}

// apply returns the next version of the configuration, with the intent applied.
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

// applyLimits applies an intent about limits to next.
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
