package coordinator

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"tanagerbarrow/fleet"
)

// TestGroupFormsAfterKillsDuringTheFirstStart guards against a deployment that never forms because
// one control host was killed, or lost, before the last one of the first start was up.
func TestGroupFormsAfterKillsDuringTheFirstStart(t *testing.T) {
	for name, disrupt := range map[string]func(c *testCluster){
		"a host is killed": func(c *testCluster) {
			c.kill(3)
			c.start(3, false)
		},
		"the bootstrapping host is killed": func(c *testCluster) {
			c.kill(0)
			c.start(0, false)
		},
		"the bootstrapping host is killed and has other seeds": func(c *testCluster) {
			c.kill(0)
			c.seeds = []netip.AddrPort{netip.AddrPortFrom(hostAddress(1), c.port+1), netip.AddrPortFrom(hostAddress(2), c.port+1)}
			c.start(0, false)
		},
		"a host loses its disk": func(c *testCluster) {
			c.kill(2)
			c.folders[2] = ""
			c.start(2, false)
		},
		"a host is replaced": func(c *testCluster) {
			c.kill(3)
			c.start(5, false)
		},
		"four are killed one after the other": func(c *testCluster) {
			for n := range 4 {
				c.kill(n)
				c.start(n, false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t)
			for n := range 4 {
				c.start(n, true)
			}
			disrupt(c)
			c.start(4, true)
			c.declare(4, 1)
			c.expectVersion(1, 1)
		})
	}
}

// TestFirstStartIsRecordedOnce checks who may bootstrap: the host that might at the first start,
// whatever its later settings say, and nobody else.
func TestFirstStartIsRecordedOnce(t *testing.T) {
	lowest, own := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	settings := func(folder string, first bool, seeds ...netip.AddrPort) *fleet.Settings {
		return &fleet.Settings{DataFolder: folder, FirstStart: first, Seeds: seeds, ControlAddress: own}
	}
	for name, c := range map[string]struct {
		first, later *fleet.Settings
		// bootstraps is whether the host may bootstrap at the later start, and recorded
		// whether it knows that its disk dates from the first start.
		bootstraps, recorded bool
	}{
		"bootstrapping host":                  {settings("", true, own), settings("", false, own), true, true},
		"bootstrapping host with other seeds": {settings("", true, own), settings("", false, lowest), true, true},
		"another host":                        {settings("", true, lowest, own), settings("", false, lowest, own), false, true},
		"another host with other seeds":       {settings("", true, lowest, own), settings("", false, own), false, true},
		"another host, first start again":     {settings("", true, lowest, own), settings("", true, own), false, true},
		"host that joins later":               {settings("", false, own), settings("", false, own), false, false},
	} {
		folder := t.TempDir()
		c.first.DataFolder, c.later.DataFolder = folder, folder
		if _, err := recordFirstStart(c.first); err != nil {
			t.Fatal(err)
		}
		r, err := recordFirstStart(c.later)
		if err != nil || (r != nil) != c.recorded || r != nil && r.MayBootstrap != c.bootstraps {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
		if !c.recorded {
			continue
		}
		if err := os.WriteFile(filepath.Join(folder, firstStartFile), []byte(`{"may_boot`), filePermission); err != nil {
			t.Fatal(err)
		}
		if r, err := recordFirstStart(settings(folder, false, own)); r != nil || err != nil {
			t.Errorf("%s: a cut record is read as %+v, %v", name, r, err)
		}
	}
}
