package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// digestBytes is how much of the SHA-256 hash a plan's digest shows.
const digestBytes = 16

// Plan says what an intent will do on a given version.
type Plan struct {
	// ID identifies the plan.
	ID string `json:"id"`
	// Digest covers the intent, the base version, the steps and the figures.
	Digest string `json:"digest"`
	// BaseVersion is the version that the plan rests on.
	BaseVersion uint64 `json:"base_version"`
	// Intent is what the plan does.
	Intent Intent `json:"intent"`
	// Steps say what will happen.
	Steps []string `json:"steps"`
	// Figures say it in numbers.
	Figures Figures `json:"figures"`
	// Warnings say what an operator should weigh before the confirmation.
	Warnings []string `json:"warnings,omitempty"`
	// Refusal says why the plan cannot be confirmed; empty if it can.
	Refusal string `json:"refusal,omitempty"`
}

// NewPlan says what an intent will do on a configuration, or why it is
// refused. The figures rest on the report.
func NewPlan(id string, i Intent, c *Configuration, p Topology, r CapacityReport) Plan {
	plan := Plan{ID: id, BaseVersion: c.Version, Intent: i}
	if err := i.Check(c, p); err != nil {
		plan.Refusal = err.Error()
	} else {
		plan.Figures = newFigures(i, c, i.apply(c), p, r)
		plan.Steps = i.steps(c, p)
		plan.Warnings = plan.Figures.warnings()
		plan.Refusal = plan.Figures.refusal(i)
	}
	plan.Digest = plan.digest()
	return plan
}

// digest returns a hash over everything in the plan but its ID and digest.
func (p Plan) digest() string {
	p.ID, p.Digest = "", ""
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "encode plan"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// refusal says why the plan would do harm; empty if it would not or if the
// operator forces it.
func (f *Figures) refusal(i Intent) string {
	homeless := len(f.AccountsWithoutZone) + len(f.RoutesWithoutZone)
	if homeless == 0 || i.Force {
		return ""
	}
	return fmt.Sprintf("no availability zone would be left in service for pinned client accounts %q and routes %q; "+
		"force the intent to do it all the same", f.AccountsWithoutZone, f.RoutesWithoutZone)
}

// warnings says what an operator should weigh.
func (f *Figures) warnings() []string {
	var all []string
	add := func(lines []string, text string) {
		if len(lines) > 0 {
			all = append(all, text+": "+strings.Join(lines, ", "))
		}
	}
	add(f.RegionsWithoutZone, "regions without an availability zone in service")
	add(f.AccountsWithoutZone, "client accounts whose requests would have no home")
	add(f.RoutesWithoutZone, "routes whose requests would have no home")
	add(f.ConflictingPins, "pins that share no home region with this one; a request of both would have no home")
	add(f.HomeRegionsWithoutServer, "home regions in which a service has no backend server")
	for _, s := range f.Services {
		if s.ServersBefore > 0 && s.ServersAfter == 0 {
			all = append(all, fmt.Sprintf("service %q would have no backend server", s.Service))
		}
	}
	if f.Reporters == 0 {
		all = append(all, "no entry reported its backend servers lately; the figures leave them out")
	}
	return all
}

// steps says what will happen.
func (i Intent) steps(c *Configuration, p Topology) []string {
	regions := strings.Join(i.Regions, ", ")
	switch i.Kind {
	case AdmitService:
		return []string{fmt.Sprintf("requests to /%s/ are sent to backend servers of service %q", i.Subject, i.Subject)}
	case RetireService:
		return []string{fmt.Sprintf("requests to /%s/ are refused as an unknown service", i.Subject)}
	case TakeZoneOut:
		left := len(p.Regions) - len(c.ZonesOut) - 1
		return []string{
			fmt.Sprintf("no entry sends new work to availability zone %q; %d availability zones remain", i.Subject, left),
			fmt.Sprintf("entry hosts in availability zone %q turn unready and finish their requests", i.Subject),
		}
	case BringZoneBack:
		return []string{fmt.Sprintf("availability zone %q receives new work again", i.Subject)}
	case PinAccount:
		return []string{fmt.Sprintf("requests of client account %q are served only in %s", i.Subject, regions)}
	case PinRoute:
		return []string{fmt.Sprintf("requests to paths under %q are served only in %s", i.Subject, regions)}
	case SetServiceLimits, ClearServiceLimits, SetAccountLimits, ClearAccountLimits:
		return describe(c, i.apply(c))
	default:
		return []string{fmt.Sprintf("requests of %q are served in every region", i.Subject)}
	}
}
