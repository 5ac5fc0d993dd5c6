package account

import "slices"

// NoRegion is the home region of a request whose client account and route have no home region in
// common. It contains no availability zone.
const NoRegion = "none"

// CommonRegions returns the home regions of a request that two declarations bind, each to some
// regions, or to none if it is empty. The result is empty if the request may be served anywhere,
// and [NoRegion] alone if it may be served nowhere.
func CommonRegions(a, b []string) []string {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []string{NoRegion}
	}
	return both
}
