package main

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/load"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// setupTimeout is the maximum time until the system serves requests.
const setupTimeout = 30 * time.Second

// regions maps the availability zones to their regions.
var regions = map[string]string{"a": "north", "b": "north", "c": "north", "d": "north", "e": "south", "f": "south"}

// zoneOrder lists the availability zones in the order in which processes
// are distributed over them.
var zoneOrder = []string{"a", "b", "c", "d", "e", "f"}

// testSystem is a running system with its backend servers by zone and the stand-in
// callers.
type testSystem struct {
	options  options
	running  *cluster.RunningSystem
	backends map[string][]*standin.Server
	balancer *load.Balancer
}

// startSystem starts the processes and backend servers and waits until every entry
// serves requests.
func startSystem(o options, folder string) (*testSystem, error) {
	written, err := cluster.WriteSettings(folder, cluster.Size{Controls: 1, Entries: o.entries, Zones: regions, ZoneOrder: zoneOrder})
	if err != nil {
		return nil, err
	}
	sys := &testSystem{options: o, backends: map[string][]*standin.Server{}}
	if sys.running, err = cluster.Start(o.binary, written); err != nil {
		return nil, err
	}
	var entries []load.Entry
	for _, e := range written.Entries {
		entries = append(entries, load.Entry{Name: e.Name, Caller: e.Caller.String(), Admin: e.Admin.String()})
	}
	sys.balancer = load.NewBalancer(entries)
	if err := sys.setUp(); err != nil {
		sys.stop()
		return nil, err
	}
	return sys, nil
}

// setUp starts the backend servers, admits their service and waits until every
// entry serves.
func (sys *testSystem) setUp() error {
	for _, zone := range zoneOrder {
		for range sys.options.backends {
			b, err := standin.Start(standin.Options{
				Service: "catalogue", AvailabilityZone: zone, Slots: 2, Generation: 1,
				Entries: sys.running.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
				Script: &standin.Script{ServiceMillis: sys.options.serviceTime.Milliseconds()},
			})
			if err != nil {
				return err
			}
			sys.backends[zone] = append(sys.backends[zone], b)
		}
	}
	deadline := time.Now().Add(setupTimeout)
	for err := sys.applyIntent(state.AdmitService, "catalogue"); err != nil; err = sys.applyIntent(state.AdmitService, "catalogue") {
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(arrivalWindow / 10)
	}
	for _, e := range sys.running.Entries {
		for !answersOK("http://" + e.Caller.String() + "/catalogue/bells") {
			if time.Now().After(deadline) {
				return errors.Newf("entry %q does not serve within %s", e.Name, setupTimeout)
			}
			time.Sleep(arrivalWindow / 10)
		}
	}
	return nil
}

// answersOK reports whether a GET request is answered with status 200.
func answersOK(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// applyIntent plans and confirms an intent through the operator API.
func (sys *testSystem) applyIntent(kind state.IntentKind, subject string) error {
	c := operator.NewClient("http://"+sys.running.Controls[0].Operator.String(), cluster.OperatorKey)
	p, err := c.Plan(state.Intent{Kind: kind, Subject: subject})
	if err != nil {
		return err
	}
	if p.Refusal != "" {
		return errors.Newf("plan %s %s: %s", kind, subject, p.Refusal)
	}
	_, err = c.Confirm(p.ID, operator.Confirmation{Operator: "zones", Digest: p.Digest})
	return err
}

// killBackends stops all backend servers of a zone without draining them.
func (sys *testSystem) killBackends(zone string) error {
	for _, b := range sys.backends[zone] {
		b.Close()
	}
	return nil
}

// killEntries kills all entry processes of a zone.
func (sys *testSystem) killEntries(zone string) error {
	for _, e := range sys.running.Entries {
		if e.Zone == zone {
			if err := sys.running.Kill(e.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop stops the backend servers and all processes.
func (sys *testSystem) stop() {
	for _, all := range sys.backends {
		for _, b := range all {
			b.Close()
		}
	}
	sys.running.Stop()
}
