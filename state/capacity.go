package state

import (
	"cmp"
	"slices"
	"strings"
)

// CapacityRow counts the backend servers of one service in one availability
// zone that hold a lease and are not leaving.
type CapacityRow struct {
	// Service is the service.
	Service string `json:"service"`
	// AvailabilityZone is where the backend servers stand.
	AvailabilityZone string `json:"zone"`
	// Servers is the number of backend servers.
	Servers int `json:"servers"`
	// Slots is the sum of their slots.
	Slots int `json:"slots"`
}

// CapacityReport is what the entries know of the backend servers.
type CapacityReport struct {
	// Reporters is how many entries reported lately; with none the rows say
	// nothing.
	Reporters int `json:"reporters"`
	// Rows are the counts.
	Rows []CapacityRow `json:"rows,omitempty"`
}

// CapacitySource tells what the entries know of the backend servers.
type CapacitySource interface {
	// Report returns the counts of the entries that reported lately.
	Report() CapacityReport
}

// MergeReports merges the reports of several hosts. Of differing counts the
// largest stands: an entry that is cut off knows too few backend servers.
func MergeReports(reports []CapacityReport) CapacityReport {
	type place struct{ service, zone string }
	largest := map[place]CapacityRow{}
	var merged CapacityReport
	for _, r := range reports {
		merged.Reporters += r.Reporters
		for _, row := range r.Rows {
			key := place{row.Service, row.AvailabilityZone}
			if row.Slots >= largest[key].Slots {
				largest[key] = row
			}
		}
	}
	for _, row := range largest {
		merged.Rows = append(merged.Rows, row)
	}
	slices.SortFunc(merged.Rows, func(a, b CapacityRow) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return merged
}
