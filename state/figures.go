package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// maxListEntries is the maximum length of each list in a plan's figures. The most
// affected services come first.
const maxListEntries = 50

// Figures quantify the effect of a plan. Load is estimated by slots, on the
// assumption that the load of a service is spread evenly over its slots.
type Figures struct {
	// Reporters is the number of entries that reported the counts. If it is 0,
	// the counts of backend servers and slots are unknown and left out.
	Reporters int `json:"reporters"`
	// Services are the affected services, at most 50, sorted by the number of
	// backend servers that remain, lowest first.
	Services []ServiceFigures `json:"services,omitempty"`
	// MovedPercent is the share of the load that moves to other backend servers,
	// in percent of the slots of the services that the intent affects.
	MovedPercent float64 `json:"moved_percent"`
	// AccountsWithoutZone are the pinned client accounts that would have no
	// availability zone in service, at most 50.
	AccountsWithoutZone []string `json:"homeless_accounts,omitempty"`
	// RoutesWithoutZone are the pinned routes that would have no availability zone
	// in service, at most 50.
	RoutesWithoutZone []string `json:"homeless_routes,omitempty"`
	// ConflictingPins are the pinned accounts or routes that share no home region
	// with the intent's pin, at most 50. No region may serve a request to which
	// both pins apply.
	ConflictingPins []string `json:"contradictions,omitempty"`
	// RegionsWithoutZone are the regions that would have no availability zone in
	// service.
	RegionsWithoutZone []string `json:"regions_without_zone,omitempty"`
	// HomeRegionsWithoutServer are the home regions of the intent's pin, or of all
	// pins, in which a service has no backend server, as "region/service"; at
	// most 50.
	HomeRegionsWithoutServer []string `json:"homes_without_server,omitempty"`
}

// ServiceFigures are the figures of one service.
type ServiceFigures struct {
	// Service is the service.
	Service string `json:"service"`
	// ServersBefore and ServersAfter count its usable backend servers.
	ServersBefore int `json:"servers_before"`
	ServersAfter  int `json:"servers_after"`
	// SlotsBefore and SlotsAfter count the slots of those servers.
	SlotsBefore int `json:"slots_before"`
	SlotsAfter  int `json:"slots_after"`
	// MovedPercent is the share of the service's load that moves, in percent of
	// its slots.
	MovedPercent float64 `json:"moved_percent"`
}

// capacityFilter selects the backend servers that may serve the requests that a
// plan affects.
type capacityFilter struct {
	config   *Configuration
	topology Topology
	// homeRegions are the home regions of a pin. If empty, every region is
	// allowed.
	homeRegions []string
}

// allows reports whether the backend servers of a row are selected.
func (f capacityFilter) allows(row CapacityRow) bool {
	if _, admitted := f.config.Services[row.Service]; !admitted || f.config.ZonesOut[row.AvailabilityZone] {
		return false
	}
	return len(f.homeRegions) == 0 || slices.Contains(f.homeRegions, f.topology.Regions[row.AvailabilityZone])
}

// newFigures returns the figures of an intent that changes before into after.
func newFigures(i Intent, before, after *Configuration, t Topology, r CapacityReport) Figures {
	f := Figures{Reporters: r.Reporters}
	filterBefore := capacityFilter{config: before, topology: t, homeRegions: i.pinnedRegions(before)}
	filterAfter := capacityFilter{config: after, topology: t, homeRegions: i.pinnedRegions(after)}
	f.countServices(i, filterBefore, filterAfter, r)
	f.AccountsWithoutZone = truncate(pinsLosingZones(before, after, before.AccountHomes, after.AccountHomes, t))
	f.RoutesWithoutZone = truncate(pinsLosingZones(before, after, before.RouteHomes, after.RouteHomes, t))
	f.RegionsWithoutZone = subtract(regionsWithoutZone(after, t), regionsWithoutZone(before, t))
	f.ConflictingPins = truncate(i.conflictingPins(after))
	f.HomeRegionsWithoutServer = truncate(homeRegionsWithoutServer(i, after, t, r))
	return f
}

// pinnedRegions returns the home regions in c of the account or route that the
// intent pins or unpins, and nil for other intents.
func (i Intent) pinnedRegions(c *Configuration) []string {
	switch i.Kind {
	case PinAccount, UnpinAccount:
		return c.AccountHomes[i.Subject]
	case PinRoute, UnpinRoute:
		return c.RouteHomes[i.Subject]
	default:
		return nil
	}
}

// affects reports whether the intent affects requests of the service.
func (i Intent) affects(service string) bool {
	switch i.Kind {
	case AdmitService, RetireService, SetServiceLimits, ClearServiceLimits:
		return service == i.Subject
	case SetAccountLimits, ClearAccountLimits:
		return false
	case PinRoute, UnpinRoute:
		segment, _, segmentComplete := strings.Cut(strings.TrimPrefix(i.Subject, "/"), "/")
		return segment == service || !segmentComplete && strings.HasPrefix(service, segment)
	default:
		return true
	}
}

// countServices counts the affected servers and slots before and after the
// intent, and sets Services and MovedPercent.
func (f *Figures) countServices(i Intent, filterBefore, filterAfter capacityFilter, r CapacityReport) {
	byService := map[string]*ServiceFigures{}
	slotsKept := map[string]int{}
	for _, row := range r.Rows {
		if !i.affects(row.Service) {
			continue
		}
		s := byService[row.Service]
		if s == nil {
			s = &ServiceFigures{Service: row.Service}
			byService[row.Service] = s
		}
		before, after := filterBefore.allows(row), filterAfter.allows(row)
		if before {
			s.ServersBefore += row.Servers
			s.SlotsBefore += row.Slots
		}
		if after {
			s.ServersAfter += row.Servers
			s.SlotsAfter += row.Slots
		}
		if before && after {
			slotsKept[row.Service] += row.Slots
		}
	}
	f.summarize(byService, slotsKept, i.Kind == SetServiceLimits || i.Kind == ClearServiceLimits)
}

// summarize sets Services, sorted and limited in length, and MovedPercent. It
// leaves out services without a change unless includeUnchanged is set.
func (f *Figures) summarize(byService map[string]*ServiceFigures, slotsKept map[string]int, includeUnchanged bool) {
	total, moved := 0, 0
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s := byService[name]
		all := max(s.SlotsBefore, s.SlotsAfter)
		total += all
		moved += all - slotsKept[name]
		s.MovedPercent = percent(all-slotsKept[name], all)
		if s.SlotsBefore != s.SlotsAfter || s.MovedPercent > 0 || includeUnchanged {
			f.Services = append(f.Services, *s)
		}
	}
	f.MovedPercent = percent(moved, total)
	slices.SortStableFunc(f.Services, func(a, b ServiceFigures) int { return cmp.Compare(a.ServersAfter, b.ServersAfter) })
	f.Services = truncate(f.Services)
}

// percent returns part as a percentage of whole, or 0 if whole is 0.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return maxPercent * float64(part) / float64(whole)
}

// pinsLosingZones returns the subjects whose pin has no availability zone in
// service after the change. It leaves out pins that existed before and had none
// then either.
func pinsLosingZones(before, after *Configuration, pinsBefore, pinsAfter map[string][]string, t Topology) []string {
	var found []string
	for _, subject := range slices.Sorted(maps.Keys(pinsAfter)) {
		if hasZoneInService(after, pinsAfter[subject], t) {
			continue
		}
		if homeRegions, pinned := pinsBefore[subject]; pinned && !hasZoneInService(before, homeRegions, t) {
			continue
		}
		found = append(found, subject)
	}
	return found
}

// hasZoneInService reports whether one of the regions has an availability zone in
// service.
func hasZoneInService(c *Configuration, regions []string, t Topology) bool {
	for zone, region := range t.Regions {
		if !c.ZonesOut[zone] && slices.Contains(regions, region) {
			return true
		}
	}
	return false
}

// regionsWithoutZone returns the regions without an availability zone in service.
func regionsWithoutZone(c *Configuration, t Topology) []string {
	var out []string
	for _, region := range t.regionNames() {
		if !hasZoneInService(c, []string{region}, t) {
			out = append(out, region)
		}
	}
	return out
}

// conflictingPins returns the subjects whose pin shares no home region with the
// pin that the intent sets. It compares accounts with routes.
func (i Intent) conflictingPins(after *Configuration) []string {
	var others map[string][]string
	switch i.Kind {
	case PinAccount:
		others = after.RouteHomes
	case PinRoute:
		others = after.AccountHomes
	}
	var found []string
	for _, subject := range slices.Sorted(maps.Keys(others)) {
		if len(subtract(i.Regions, others[subject])) == len(i.Regions) {
			found = append(found, subject)
		}
	}
	return found
}

// homeRegionsWithoutServer returns, as "region/service", each service that has no
// usable backend server in a home region that the intent affects. It returns nil
// if no entry reported its backend servers.
func homeRegionsWithoutServer(i Intent, after *Configuration, t Topology, r CapacityReport) []string {
	if r.Reporters == 0 {
		return nil
	}
	usableSlots := map[string]int{}
	for _, row := range r.Rows {
		if (capacityFilter{config: after, topology: t}).allows(row) {
			usableSlots[t.Regions[row.AvailabilityZone]+"/"+row.Service] += row.Slots
		}
	}
	var found []string
	for _, region := range i.affectedHomeRegions(after) {
		for _, service := range slices.Sorted(maps.Keys(after.Services)) {
			if i.affects(service) && usableSlots[region+"/"+service] == 0 {
				found = append(found, region+"/"+service)
			}
		}
	}
	return found
}

// affectedHomeRegions returns the home regions that the intent affects, sorted:
// those that it pins to, or those of all pins if it takes an availability zone
// out.
func (i Intent) affectedHomeRegions(after *Configuration) []string {
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
	var rest []string
	for _, v := range a {
		if !slices.Contains(b, v) {
			rest = append(rest, v)
		}
	}
	return rest
}

// truncate returns at most the first maxListEntries entries of a list.
func truncate[T any](entries []T) []T { return entries[:min(len(entries), maxListEntries)] }
