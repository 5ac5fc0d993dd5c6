package experiment

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/load"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/operator"
	"tanagerbarrow/serving"
	"tanagerbarrow/state"
)

// The sizes and times of a deployment on loopback.
const (
	entryHosts   = 18
	controlHosts = 5
	setupTimeout = 60 * time.Second
	setupPause   = 100 * time.Millisecond
)

// World is a running deployment.
type World struct {
	profile  Profile
	running  *cluster.RunningSystem
	backends []*standin.Server
	zones    []string
	frozen   string
}

// StartWorld starts the processes and the stand-ins of a profile, admits its
// services and waits until every entry is ready. extra is appended to every
// settings file.
func StartWorld(binary, folder, extra string, p Profile) (*World, error) {
	system, err := cluster.WriteSettings(folder, cluster.Size{
		Controls: controlHosts, Entries: entryHosts, Zones: p.Zones, ZoneOrder: p.ZoneOrder, ExtraSettings: extra,
	})
	if err != nil {
		return nil, err
	}
	w := &World{profile: p}
	if w.running, err = cluster.Start(binary, system); err != nil {
		return nil, err
	}
	if err := w.setUp(); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}

// setUp admits the services and starts the stand-ins.
func (w *World) setUp() error {
	for _, s := range w.profile.Services {
		if err := w.order(state.AdmitService, s.Name); err != nil {
			return err
		}
		if err := w.startBackends(s); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// startBackends starts the stand-ins of one service, spread over the zones.
func (w *World) startBackends(s Service) error {
	for i := range s.Endpoints {
		zone := w.profile.ZoneOrder[i%len(w.profile.ZoneOrder)]
		b, err := standin.Start(standin.Options{
			Service: s.Name, AvailabilityZone: zone, Slots: w.profile.Slots, Generation: 1,
			Entries: w.running.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
			Script: &standin.Script{ServiceMillis: w.profile.ServiceTime.Milliseconds()},
		})
		if err != nil {
			return err
		}
		w.backends = append(w.backends, b)
		w.zones = append(w.zones, zone)
	}
	return nil
}

// awaitReady waits until every entry is ready and answers a read.
func (w *World) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(setupTimeout)
	for _, e := range w.running.Entries {
		for !answers(&client, "http://"+e.Admin.String()+serving.ReadyPath) ||
			!answers(&client, "http://"+e.Caller.String()+w.profile.Mix[0].Path) {
			if time.Now().After(end) {
				return errors.Newf("entry %q was not ready within %s", e.Name, setupTimeout)
			}
			time.Sleep(setupPause)
		}
	}
	return nil
}

// answers reports whether a GET gets status 200.
func answers(c *http.Client, url string) bool {
	res, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// operators returns a client of the first control process that answers.
func (w *World) operators() *operator.Client {
	for _, p := range w.running.Controls {
		c := operator.NewClient("http://"+p.Operator.String(), cluster.OperatorKey)
		if p.Name == w.frozen {
			continue
		}
		if _, err := c.Status(); err == nil {
			return c
		}
	}
	return operator.NewClient("http://"+w.running.Controls[0].Operator.String(), cluster.OperatorKey)
}

// frontend returns the stand-in of the platform's balancer.
func (w *World) frontend() *load.Balancer {
	var entries []load.Entry
	for _, e := range w.running.Entries {
		entries = append(entries, load.Entry{Name: e.Name, Caller: e.Caller.String(), Admin: e.Admin.String()})
	}
	return load.NewBalancer(entries)
}

// runs returns how often the request with the token ran on all stand-ins.
func (w *World) runs(token string) int {
	n := 0
	for _, b := range w.backends {
		n += b.RunCount(token)
	}
	return n
}

// Stop ends everything.
func (w *World) Stop() {
	for _, b := range w.backends {
		b.Close()
	}
	w.running.Stop()
}
