package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// maxFigureLines bounds each list in a plan's figures; the worst come first.
const maxFigureLines = 50

// Figures say in numbers what a plan does. Load is predicted by slots: a
// service's load spreads over its slots.
type Figures struct {
	// Reporters is how many entries the counts come from. With none, every count
	// of backend servers and slots is unknown and left out.
	Reporters int `json:"reporters"`
	// Services are the affected services, those with the fewest servers left
	// first, at most 50.
	Services []ServiceFigures `json:"services,omitempty"`
	// MovedPercent is the share of the load that moves, in percent of slots: of
	// all load, or of the requests that the intent is about.
	MovedPercent float64 `json:"moved_percent"`
	// AccountsWithoutZone are pinned client accounts that would have no
	// availability zone in service, at most 50.
	AccountsWithoutZone []string `json:"homeless_accounts,omitempty"`
	// RoutesWithoutZone are pinned routes that would have no availability zone in
	// service, at most 50.
	RoutesWithoutZone []string `json:"homeless_routes,omitempty"`
	// ConflictingPins are pinned accounts and routes that share no home region:
	// a request of both has no home; at most 50.
	ConflictingPins []string `json:"contradictions,omitempty"`
	// RegionsWithoutZone are the regions that would have no availability zone in
	// service.
	RegionsWithoutZone []string `json:"regions_without_zone,omitempty"`
	// HomeRegionsWithoutServer are home regions of the pin, or of pins, in which a
	// service has no backend server, as "region/service"; at most 50.
	HomeRegionsWithoutServer []string `json:"homes_without_server,omitempty"`
}

// ServiceFigures are the figures of one service.
type ServiceFigures struct {
	// Service is the service.
	Service string `json:"service"`
	// ServersBefore and ServersAfter count its usable backend servers.
	ServersBefore int `json:"servers_before"`
	ServersAfter  int `json:"servers_after"`
	// SlotsBefore and SlotsAfter count their slots.
	SlotsBefore int `json:"slots_before"`
	SlotsAfter  int `json:"slots_after"`
	// MovedPercent is the share of the service's load that moves.
	MovedPercent float64 `json:"moved_percent"`
}

// usable says which backend servers may serve the requests that a plan is
// about.
type usable struct {
	config *Configuration
	places Topology
	// homes are the home regions of a pin; empty allows every region.
	homes []string
}

// allows reports whether a row counts.
func (u usable) allows(row CapacityRow) bool {
	if _, admitted := u.config.Services[row.Service]; !admitted || u.config.ZonesOut[row.AvailabilityZone] {
		return false
	}
	return len(u.homes) == 0 || slices.Contains(u.homes, u.places.Regions[row.AvailabilityZone])
}

// newFigures compares the configurations before and after an intent.
func newFigures(i Intent, before, after *Configuration, p Topology, r CapacityReport) Figures {
	f := Figures{Reporters: r.Reporters}
	was := usable{config: before, places: p, homes: i.homes(before)}
	will := usable{config: after, places: p, homes: i.homes(after)}
	f.services(i, was, will, r)
	f.AccountsWithoutZone = bounded(newlyHomeless(before, after, before.AccountHomes, after.AccountHomes, p))
	f.RoutesWithoutZone = bounded(newlyHomeless(before, after, before.RouteHomes, after.RouteHomes, p))
	f.RegionsWithoutZone = subtract(regionsOut(after, p), regionsOut(before, p))
	f.ConflictingPins = bounded(i.contradictions(after))
	f.HomeRegionsWithoutServer = bounded(homesWithoutServer(i, after, p, r))
	return f
}

// homes returns the home regions of the pin that the intent is about.
func (i Intent) homes(c *Configuration) []string {
	switch i.Kind {
	case PinAccount, UnpinAccount:
		return c.AccountHomes[i.Subject]
	case PinRoute, UnpinRoute:
		return c.RouteHomes[i.Subject]
	default:
		return nil
	}
}

// concerns reports whether the intent is about requests of the service.
func (i Intent) concerns(service string) bool {
	switch i.Kind {
	case AdmitService, RetireService, SetServiceLimits, ClearServiceLimits:
		return service == i.Subject
	case SetAccountLimits, ClearAccountLimits:
		return false
	case PinRoute, UnpinRoute:
		segment, _, whole := strings.Cut(strings.TrimPrefix(i.Subject, "/"), "/")
		return segment == service || !whole && strings.HasPrefix(service, segment)
	default:
		return true
	}
}

// services fills the figures of services and the share of load that moves.
func (f *Figures) services(i Intent, was, will usable, r CapacityReport) {
	byService := map[string]*ServiceFigures{}
	kept := map[string]int{}
	for _, row := range r.Rows {
		if !i.concerns(row.Service) {
			continue
		}
		s := byService[row.Service]
		if s == nil {
			s = &ServiceFigures{Service: row.Service}
			byService[row.Service] = s
		}
		before, after := was.allows(row), will.allows(row)
		if before {
			s.ServersBefore += row.Servers
			s.SlotsBefore += row.Slots
		}
		if after {
			s.ServersAfter += row.Servers
			s.SlotsAfter += row.Slots
		}
		if before && after {
			kept[row.Service] += row.Slots
		}
	}
	f.collect(byService, kept, i.Kind == SetServiceLimits || i.Kind == ClearServiceLimits)
}

// collect sorts the figures and sums the load that moves.
func (f *Figures) collect(byService map[string]*ServiceFigures, kept map[string]int, keepUnchanged bool) {
	total, moved := 0, 0
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s := byService[name]
		all := max(s.SlotsBefore, s.SlotsAfter)
		total += all
		moved += all - kept[name]
		s.MovedPercent = percent(all-kept[name], all)
		if s.SlotsBefore != s.SlotsAfter || s.MovedPercent > 0 || keepUnchanged {
			f.Services = append(f.Services, *s)
		}
	}
	f.MovedPercent = percent(moved, total)
	slices.SortStableFunc(f.Services, func(a, b ServiceFigures) int { return cmp.Compare(a.ServersAfter, b.ServersAfter) })
	f.Services = bounded(f.Services)
}

// percent returns part of whole in percent, or 0 of nothing.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return maxPercent * float64(part) / float64(whole)
}

// newlyHomeless returns the pins that have no availability zone in service
// after the change and had one before.
func newlyHomeless(before, after *Configuration, pinsBefore, pinsAfter map[string][]string, p Topology) []string {
	var found []string
	for _, subject := range slices.Sorted(maps.Keys(pinsAfter)) {
		if served(after, pinsAfter[subject], p) {
			continue
		}
		if homes, was := pinsBefore[subject]; was && !served(before, homes, p) {
			continue
		}
		found = append(found, subject)
	}
	return found
}

// served reports whether one of the regions has an availability zone in
// service.
func served(c *Configuration, regions []string, p Topology) bool {
	for zone, region := range p.Regions {
		if !c.ZonesOut[zone] && slices.Contains(regions, region) {
			return true
		}
	}
	return false
}

// regionsOut returns the regions without an availability zone in service.
func regionsOut(c *Configuration, p Topology) []string {
	var out []string
	for _, region := range p.names() {
		if !served(c, []string{region}, p) {
			out = append(out, region)
		}
	}
	return out
}

// contradictions returns the pins that share no home region with the pin that
// the intent sets.
func (i Intent) contradictions(after *Configuration) []string {
	var others map[string][]string
	switch i.Kind {
	case PinAccount:
		others = after.RouteHomes
	case PinRoute:
		others = after.AccountHomes
	}
	var found []string
	for _, other := range slices.Sorted(maps.Keys(others)) {
		if len(subtract(i.Regions, others[other])) == len(i.Regions) {
			found = append(found, other)
		}
	}
	return found
}

// homesWithoutServer returns each home region and service without a usable
// backend server there, over the pin of the intent, or over all pins where
// the intent changes the servers.
func homesWithoutServer(i Intent, after *Configuration, p Topology, r CapacityReport) []string {
	if r.Reporters == 0 {
		return nil
	}
	usableSlots := map[string]int{}
	for _, row := range r.Rows {
		if (usable{config: after, places: p}).allows(row) {
			usableSlots[p.Regions[row.AvailabilityZone]+"/"+row.Service] += row.Slots
		}
	}
	var found []string
	for _, region := range i.regionsAtStake(after) {
		for _, service := range slices.Sorted(maps.Keys(after.Services)) {
			if i.concerns(service) && usableSlots[region+"/"+service] == 0 {
				found = append(found, region+"/"+service)
			}
		}
	}
	return found
}

// regionsAtStake returns the home regions that the intent bears on, sorted.
func (i Intent) regionsAtStake(after *Configuration) []string {
	set := map[string]bool{}
	add := func(regions []string) {
		for _, region := range regions {
			set[region] = true
		}
	}
	switch i.Kind {
	case PinAccount, PinRoute:
		add(i.Regions)
	case TakeZoneOut:
		for _, regions := range after.AccountHomes {
			add(regions)
		}
		for _, regions := range after.RouteHomes {
			add(regions)
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// subtract returns the values of a that are not in b.
func subtract(a, b []string) []string {
	var left []string
	for _, v := range a {
		if !slices.Contains(b, v) {
			left = append(left, v)
		}
	}
	return left
}

// bounded returns the first lines of a list.
func bounded[T any](lines []T) []T { return lines[:min(len(lines), maxFigureLines)] }
