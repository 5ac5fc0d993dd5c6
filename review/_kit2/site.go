package main

import "time"

// controlHosts is the number of control hosts of each deployment, one in each of its first zones.
const controlHosts = 5

// zone is an availability zone and its region.
type zone struct{ name, region string }

// site is what a case takes from the file of a site: zones, limits of machines, contracts and bounds.
type site struct {
	name        string
	zones       []zone
	front, core string
	contracts   []string
	bounds      []string
	drain       time.Duration
}

// coreLimits are the limits of a control host; they are the same on both sites.
const coreLimits = "limits:\n  cpuShare: 0.96\n  cores: 1\n  memoryMb: 280\n  fdLimit: 4096\n  linkBandwidthMbps: 1000.0\n  diskMb: 256\n"

var khonkhGate = site{
	name: "khonkh-gate",
	zones: []zone{
		{"tsetserleg", "arkhangai"},
		{"chinggis", "khentii"},
		{"dalanzadgad", "umnugovi"},
		{"tariat", "arkhangai"},
		{"binder", "khentii"},
		{"khanbogd", "umnugovi"},
	},
	front:     "limits:\n  cpuShare: 0.32\n  cores: 1\n  memoryMb: 284\n  fdLimit: 4100\n  linkBandwidthMbps: 1000.0\n  diskMb: 0\n",
	core:      coreLimits,
	contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places"},
	bounds: []string{
		"seedLagS=3", "addressReuseS=2", "contactWindowMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000",
		"gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "outerBoundMs=5000",
		"retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=64", "coldRateFactor=1.5", "coldSlack=5",
		"evacuationBoundMs=5000", "recoveryS=15", "probesPerS=60",
	},
	drain: 2 * time.Second,
}

var emgcSerrana = site{
	name: "emgc-serrana-grown",
	zones: []zone{
		{"ciudad-1", "ciudad"},
		{"norte-1", "barrionorte"},
		{"sur-1", "distritosur"},
		{"ciudad-2", "ciudad"},
		{"norte-2", "barrionorte"},
		{"sur-2", "distritosur"},
	},
	front:     "limits:\n  cpuShare: 0.16\n  cores: 1\n  memoryMb: 184\n  fdLimit: 4100\n  linkBandwidthMbps: 2.0\n  diskMb: 0\n",
	core:      coreLimits,
	contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "places"},
	bounds: []string{
		"seedLagS=3", "addressReuseS=2", "contactWindowMs=3000", "ackTimeoutMs=4000", "catchUpS=6", "drainMs=2500",
		"gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2500", "rollbackSlackMs=250", "outerBoundMs=5000",
		"retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=216", "coldRateFactor=1.5", "coldSlack=8",
		"evacuationBoundMs=5000", "recoveryS=15", "probesPerS=60",
	},
	drain: 2500 * time.Millisecond,
}

// khonkhGateGrown is the site after it has grown: more and smaller entries with thin links.
var khonkhGateGrown = site{
	name: "khonkh-gate-grown", zones: khonkhGate.zones,
	front:     "limits:\n  cpuShare: 0.16\n  cores: 1\n  memoryMb: 184\n  fdLimit: 4100\n  linkBandwidthMbps: 2.0\n  diskMb: 0\n",
	core:      coreLimits,
	contracts: emgcSerrana.contracts,
	bounds: []string{
		"seedLagS=3", "addressReuseS=2", "contactWindowMs=3000", "ackTimeoutMs=4000", "catchUpS=6", "drainMs=2500",
		"gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2500", "rollbackSlackMs=250", "outerBoundMs=5000",
		"retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=220", "coldRateFactor=1.5", "coldSlack=8",
		"evacuationBoundMs=5000", "recoveryS=15", "probesPerS=60",
	},
	drain: 2500 * time.Millisecond,
}

// zone returns the name of the nth zone.
func (w *world) zone(n int) string { return w.site.zones[n%len(w.site.zones)].name }

// region returns the region of a zone.
func (w *world) region(name string) string {
	for _, z := range w.site.zones {
		if z.name == name {
			return z.region
		}
	}
	return ""
}
