package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// digestBytes is the length to which the SHA-256 hash of a plan is truncated, in
// bytes.
const digestBytes = 16

// Plan describes the effect of an intent on a given version of the configuration.
type Plan struct {
	// ID identifies the plan.
	ID string `json:"id"`
	// Digest is a hash of all other fields except ID, in hexadecimal.
	Digest string `json:"digest"`
	// BaseVersion is the version of the configuration that the plan applies to.
	BaseVersion uint64 `json:"base_version"`
	// Intent is the intent that the plan applies.
	Intent Intent `json:"intent"`
	// Steps describe the effect in text.
	Steps []string `json:"steps"`
	// Figures describe the effect in numbers.
	Figures Figures `json:"figures"`
	// Warnings are risks that an operator should consider before confirming.
	Warnings []string `json:"warnings,omitempty"`
	// Refusal is the reason why the plan cannot be confirmed; empty if it can.
	Refusal string `json:"refusal,omitempty"`
}

// NewPlan returns the plan of an intent on a configuration; Refusal is set if the
// intent is refused. The figures are computed from the report.
func NewPlan(id string, i Intent, c *Configuration, t Topology, r CapacityReport) Plan {
	plan := Plan{ID: id, BaseVersion: c.Version, Intent: i}
	if err := i.Check(c, t); err != nil {
		plan.Refusal = err.Error()
	} else {
		plan.Figures = newFigures(i, c, i.apply(c), t, r)
		plan.Steps = i.steps(c, t)
		plan.Warnings = plan.Figures.warnings()
		plan.Refusal = plan.Figures.refusal(i)
	}
	plan.Digest = plan.digest()
	return plan
}

// digest returns a hash over all fields of the plan except ID and Digest.
func (p Plan) digest() string {
	p.ID, p.Digest = "", ""
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "encode plan"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// refusal returns the reason to refuse a plan that leaves pinned requests without
// an availability zone. It is empty if there are none or the intent is forced.
func (f *Figures) refusal(i Intent) string {
	withoutZone := len(f.AccountsWithoutZone) + len(f.RoutesWithoutZone)
	if withoutZone == 0 || i.Force {
		return ""
	}
	return fmt.Sprintf("no availability zone would be left in service for pinned client accounts %q and routes %q; "+
		"force the intent to do it all the same", f.AccountsWithoutZone, f.RoutesWithoutZone)
}

// warnings returns the risks that an operator should consider.
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

// steps returns the effect of the intent in text.
func (i Intent) steps(c *Configuration, t Topology) []string {
	regions := strings.Join(i.Regions, ", ")
	switch i.Kind {
	case AdmitService:
		return []string{fmt.Sprintf("requests to /%s/ are sent to backend servers of service %q", i.Subject, i.Subject)}
	case RetireService:
		return []string{fmt.Sprintf("requests to /%s/ are refused as an unknown service", i.Subject)}
	case TakeZoneOut:
		remaining := len(t.Regions) - len(c.ZonesOut) - 1
		return []string{
			fmt.Sprintf("no entry sends new work to availability zone %q; %d availability zones remain", i.Subject, remaining),
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
