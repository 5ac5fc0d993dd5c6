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

// setupTimeout bounds the start of the system.
const setupTimeout = 30 * time.Second

// regions maps the availability zones to their regions.
var regions = map[string]string{"a": "north", "b": "north", "c": "north", "d": "north", "e": "south", "f": "south"}

// zoneOrder lists the availability zones.
var zoneOrder = []string{"a", "b", "c", "d", "e", "f"}

// world is a running system.
type world struct {
	options  options
	running  *cluster.RunningSystem
	backends map[string][]*standin.Server
	frontend *load.Balancer
}

// startWorld starts everything and waits until all zones get work.
func startWorld(o options, folder string) (*world, error) {
	system, err := cluster.WriteSettings(folder, cluster.Size{Controls: 1, Entries: o.entries, Zones: regions, ZoneOrder: zoneOrder})
	if err != nil {
		return nil, err
	}
	w := &world{options: o, backends: map[string][]*standin.Server{}}
	if w.running, err = cluster.Start(o.binary, system); err != nil {
		return nil, err
	}
	var entries []load.Entry
	for _, e := range system.Entries {
		entries = append(entries, load.Entry{Name: e.Name, Caller: e.Caller.String(), Admin: e.Admin.String()})
	}
	w.frontend = load.NewBalancer(entries)
	if err := w.setUp(); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

// setUp starts the backend servers, admits their service and waits until every
// entry serves.
func (w *world) setUp() error {
	for _, zone := range zoneOrder {
		for range w.options.backends {
			b, err := standin.Start(standin.Options{
				Service: "catalogue", AvailabilityZone: zone, Slots: 2, Generation: 1,
				Entries: w.running.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
				Script: &standin.Script{ServiceMillis: w.options.service.Milliseconds()},
			})
			if err != nil {
				return err
			}
			w.backends[zone] = append(w.backends[zone], b)
		}
	}
	end := time.Now().Add(setupTimeout)
	for err := w.order(state.AdmitService, "catalogue"); err != nil; err = w.order(state.AdmitService, "catalogue") {
		if time.Now().After(end) {
			return err
		}
		time.Sleep(shareWindow / 10)
	}
	for _, e := range w.running.Entries {
		for !serves("http://" + e.Caller.String() + "/catalogue/bells") {
			if time.Now().After(end) {
				return errors.Newf("entry %q does not serve within %s", e.Name, setupTimeout)
			}
			time.Sleep(shareWindow / 10)
		}
	}
	return nil
}

// serves reports whether a GET gets status 200.
func serves(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// order plans and confirms an intent.
func (w *world) order(kind state.IntentKind, subject string) error {
	c := operator.NewClient("http://"+w.running.Controls[0].Operator.String(), cluster.OperatorKey)
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

// killBackends ends the backend servers of a zone at once.
func (w *world) killBackends(zone string) error {
	for _, b := range w.backends[zone] {
		b.Close()
	}
	return nil
}

// killEntries ends the entries of a zone at once.
func (w *world) killEntries(zone string) error {
	for _, e := range w.running.Entries {
		if e.Zone == zone {
			if err := w.running.Kill(e.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop ends everything.
func (w *world) stop() {
	for _, all := range w.backends {
		for _, b := range all {
			b.Close()
		}
	}
	w.running.Stop()
}
