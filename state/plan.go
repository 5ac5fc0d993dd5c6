package state

import (
	"fmt"
	"strings"
)

// NewPlan says what an intent will do on a configuration, or why it is
// refused.
func NewPlan(id string, i Intent, c *Configuration, p Places) Plan {
	plan := Plan{ID: id, Digest: Digest(i, c.Version), BaseVersion: c.Version, Intent: i}
	if err := i.Check(c, p); err != nil {
		plan.Refusal = err.Error()
		return plan
	}
	plan.Steps = i.steps(c, p)
	return plan
}

// steps says what will happen.
func (i Intent) steps(c *Configuration, p Places) []string {
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
	default:
		return []string{fmt.Sprintf("requests of %q are served in every region", i.Subject)}
	}
}
