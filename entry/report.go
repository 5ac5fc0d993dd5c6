package entry

import (
	"slices"
	"strings"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/state"
)

// capacityReporter reports the capacity of the backend servers that this entry
// knows to control hosts. It sends a report only if the capacity changed since the
// last report to the same host. A nil capacityReporter reports nothing.
type capacityReporter struct {
	members      func() *membership.View
	lastReceiver *peer.Client
	lastRows     []state.CapacityRow
}

// next returns the report for a watch of the peer, or nil if nothing changed.
func (r *capacityReporter) next(to *peer.Client) *peer.EntryCapacity {
	if r == nil || r.members == nil {
		return nil
	}
	rows := capacityRows(r.members())
	if r.lastReceiver == to && slices.Equal(rows, r.lastRows) {
		return nil
	}
	r.lastReceiver, r.lastRows = to, rows
	return &peer.EntryCapacity{Rows: rows}
}

// forgetLast discards the last report after a failed call, since the host may not
// have received it. The next watch reports again.
func (r *capacityReporter) forgetLast() {
	if r != nil {
		r.lastReceiver = nil
	}
}

// capacityRows counts the backend servers and their slots by service and
// availability zone, sorted in that order.
func capacityRows(v *membership.View) []state.CapacityRow {
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
