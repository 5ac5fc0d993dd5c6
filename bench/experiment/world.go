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

// The number of processes and the setup times of a deployment on loopback.
const (
	entryHosts   = 18
	controlHosts = 5
	setupTimeout = 60 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Deployment is a running deployment of a profile.
type Deployment struct {
	profile       Profile
	system        *cluster.RunningSystem
	backends      []*standin.Server
	backendZones  []string
	frozenControl string
}

// StartDeployment starts the processes and the stand-ins of a profile, admits its
// services and waits until every entry is ready. extra is appended to every
// settings file.
func StartDeployment(binary, folder, extra string, p Profile) (*Deployment, error) {
	system, err := cluster.WriteSettings(folder, cluster.Size{
		Controls: controlHosts, Entries: entryHosts, Zones: p.Zones, ZoneOrder: p.ZoneOrder, ExtraSettings: extra,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{profile: p}
	if d.system, err = cluster.Start(binary, system); err != nil {
		return nil, err
	}
	if err := d.setUp(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// setUp admits the services, starts their stand-ins and waits until every entry is
// ready.
func (d *Deployment) setUp() error {
	for _, s := range d.profile.Services {
		if err := d.applyIntent(state.AdmitService, s.Name); err != nil {
			return err
		}
		if err := d.startBackends(s); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// startBackends starts the stand-ins of one service, distributed over the zones.
func (d *Deployment) startBackends(s Service) error {
	for i := range s.BackendServers {
		zone := d.profile.ZoneOrder[i%len(d.profile.ZoneOrder)]
		b, err := standin.Start(standin.Options{
			Service: s.Name, AvailabilityZone: zone, Slots: d.profile.Slots, Generation: 1,
			Entries: d.system.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
			Script: &standin.Script{ServiceMillis: d.profile.ServiceTime.Milliseconds()},
		})
		if err != nil {
			return err
		}
		d.backends = append(d.backends, b)
		d.backendZones = append(d.backendZones, zone)
	}
	return nil
}

// awaitReady waits until every entry is ready and answers a GET of the path of the
// first kind of the mix, which is a read.
func (d *Deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(setupTimeout)
	for _, e := range d.system.Entries {
		for !respondsOK(&client, "http://"+e.Admin.String()+serving.ReadyPath) ||
			!respondsOK(&client, "http://"+e.Caller.String()+d.profile.Mix[0].Path) {
			if time.Now().After(end) {
				return errors.Newf("entry %q was not ready within %s", e.Name, setupTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// respondsOK reports whether a GET returns status 200.
func respondsOK(c *http.Client, url string) bool {
	res, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// operatorClient returns a client of the first control process that responds,
// leaving out one that was suspended, or of the first one if none responds.
func (d *Deployment) operatorClient() *operator.Client {
	for _, p := range d.system.Controls {
		c := operator.NewClient("http://"+p.Operator.String(), cluster.OperatorKey)
		if p.Name == d.frozenControl {
			continue
		}
		if _, err := c.Status(); err == nil {
			return c
		}
	}
	return operator.NewClient("http://"+d.system.Controls[0].Operator.String(), cluster.OperatorKey)
}

// newBalancer returns a stand-in for the platform's load balancer over all entries.
func (d *Deployment) newBalancer() *load.Balancer {
	var entries []load.Entry
	for _, e := range d.system.Entries {
		entries = append(entries, load.Entry{Name: e.Name, Caller: e.Caller.String(), Admin: e.Admin.String()})
	}
	return load.NewBalancer(entries)
}

// runCount returns the number of times the request with the token ran on all
// stand-ins.
func (d *Deployment) runCount(token string) int {
	n := 0
	for _, b := range d.backends {
		n += b.RunCount(token)
	}
	return n
}

// Stop stops the stand-ins and kills the processes.
func (d *Deployment) Stop() {
	for _, b := range d.backends {
		b.Close()
	}
	d.system.Stop()
}
