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
	// AvailabilityZone is the zone in which the backend servers run.
	AvailabilityZone string `json:"zone"`
	// Servers is the number of backend servers.
	Servers int `json:"servers"`
	// Slots is the sum of the servers' slots.
	Slots int `json:"slots"`
}

// CapacityReport holds the backend server counts that entries reported.
type CapacityReport struct {
	// Reporters is the number of entries with a recent report. If it is 0, the
	// rows carry no information.
	Reporters int `json:"reporters"`
	// Rows are the counts.
	Rows []CapacityRow `json:"rows,omitempty"`
}

// CapacitySource provides the backend server counts that entries reported.
type CapacitySource interface {
	// Report returns the merged counts of all entries with a recent report.
	Report() CapacityReport
}

// MergeReports merges the reports of several hosts. Of the rows for one service
// and availability zone it uses the one with the most slots, because an entry
// that is partitioned from the others counts too few backend servers.
func MergeReports(reports []CapacityReport) CapacityReport {
	type serviceZone struct{ service, zone string }
	largest := map[serviceZone]CapacityRow{}
	var merged CapacityReport
	for _, r := range reports {
		merged.Reporters += r.Reporters
		for _, row := range r.Rows {
			key := serviceZone{row.Service, row.AvailabilityZone}
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
