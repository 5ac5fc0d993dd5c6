package entry

import (
	"slices"
	"strings"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/state"
)

// reporter tells control hosts what this entry knows of backend servers, and
// only if that changed since the last report to the same host. A nil reporter
// reports nothing.
type reporter struct {
	members func() *membership.View
	told    *peer.Client
	rows    []state.CapacityRow
}

// next returns the report for a watch of the peer, or nil if there is no news.
func (r *reporter) next(to *peer.Client) *peer.EntryCapacity {
	if r == nil || r.members == nil {
		return nil
	}
	rows := countRows(r.members())
	if r.told == to && slices.Equal(rows, r.rows) {
		return nil
	}
	r.told, r.rows = to, rows
	return &peer.EntryCapacity{Rows: rows}
}

// failed forgets the last report: it may not have arrived.
func (r *reporter) failed() {
	if r != nil {
		r.told = nil
	}
}

// countRows counts the backend servers by service and availability zone.
func countRows(v *membership.View) []state.CapacityRow {
	var rows []state.CapacityRow
	for service, servers := range v.Services {
		byZone := map[string]state.CapacityRow{}
		for _, b := range servers {
			row := byZone[b.AvailabilityZone]
			row.Servers++
			row.Slots += b.Slots
			byZone[b.AvailabilityZone] = row
		}
		for zone, row := range byZone {
			row.Service, row.AvailabilityZone = service, zone
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b state.CapacityRow) int {
		return strings.Compare(a.Service+"\x00"+a.AvailabilityZone, b.Service+"\x00"+b.AvailabilityZone)
	})
	return rows
}
