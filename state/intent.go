package state

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind names what an operator wants.
type Kind string

// The kinds of intents.
const (
	// AdmitService lets a service's backend servers receive requests.
	AdmitService Kind = "admit-service"
	// RetireService ends a service.
	RetireService Kind = "retire-service"
	// TakeZoneOut stops new work in an availability zone.
	TakeZoneOut Kind = "take-zone-out"
	// BringZoneBack lets an availability zone receive work again.
	BringZoneBack Kind = "bring-zone-back"
	// PinAccount ties a client account to home regions.
	PinAccount Kind = "pin-account"
	// UnpinAccount frees a client account.
	UnpinAccount Kind = "unpin-account"
	// PinRoute ties a path prefix to home regions.
	PinRoute Kind = "pin-route"
	// UnpinRoute frees a path prefix.
	UnpinRoute Kind = "unpin-route"
)

// Intent is one thing that an operator wants done.
type Intent struct {
	// Kind says what is wanted.
	Kind Kind `json:"kind"`
	// Subject is the service, availability zone, client account or path prefix.
	Subject string `json:"subject"`
	// Regions are the home regions of a pin.
	Regions []string `json:"regions,omitempty"`
}

// Places knows the availability zones of the system.
type Places struct {
	// Regions maps each availability zone to its region.
	Regions map[string]string
}

// hasRegion reports whether an availability zone lies in the region.
func (p Places) hasRegion(region string) bool {
	for _, r := range p.Regions {
		if r == region {
			return true
		}
	}
	return false
}

// Check returns an error if the intent makes no sense on the configuration.
func (i Intent) Check(c *Configuration, p Places) error {
	if i.Subject == "" {
		return errors.Newf("intent %q names no subject", i.Kind)
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

// checkZone checks the intents about availability zones.
func (i Intent) checkZone(c *Configuration, p Places) error {
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
func (i Intent) checkPin(p Places) error {
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
	}
	return next
}
