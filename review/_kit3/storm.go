package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The storms of the case, and the bounds of the rules.
const (
	stormGrowths  = 29
	storms        = 4
	stormTime     = 7 * time.Second
	configApply   = 2 * time.Second
	evacuation    = 5 * time.Second
	slack         = 100 * time.Millisecond
	recentRoutes  = 150
	evacuatedZone = "chinggis"
)

// get sends one safe request on a connection of its own and returns the status, 0 without an answer.
func get(address, target, id string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 1500\r\n\r\n", target, id)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// withRecent returns a version of the configuration with a route for itself and for each of the last versions.
func withRecent(version int64, content string) []byte {
	var b strings.Builder
	for n := max(version-recentRoutes, 1); n <= version; n++ {
		fmt.Fprintf(&b, `{"name":"p%d","host":"h.example","pathPrefix":"/p%d/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"bell","attempts":2,"allowedRegions":[]},`, n, n)
	}
	return versioned(version, strings.Replace(content, `"routes":[`, `"routes":[`+b.String(), 1))
}

// probes are the requests that tell which configuration is in force.
type probes struct {
	mu       sync.Mutex
	statuses map[int]int
	stale    int
	// sentAt is when each ordinary request was sent.
	sentAt map[string]time.Time
}

// check sends a request on the route of a version to each gateway, configApply after its acknowledgement.
func (p *probes) check(d *deployment, version int64, acked time.Time) {
	time.Sleep(time.Until(acked.Add(configApply + slack)))
	for n, g := range d.entries {
		sent := time.Now()
		status := get(net.JoinHostPort(g.address, fmt.Sprint(d.frontPort())), fmt.Sprintf("/p%d/x", version), fmt.Sprintf("p%d-%d", version, n))
		p.mu.Lock()
		p.statuses[status]++
		if status == http.StatusNotFound {
			p.stale++
			d.rec.line("CONFIG: %s answers 404 on the route of r%d, %.3f s after the acknowledgement", g.name, version, sent.Sub(acked).Seconds())
		}
		p.mu.Unlock()
	}
}

// callers sends ordinary requests to all gateways until the end.
func (p *probes) callers(d *deployment, end time.Time) {
	var wg sync.WaitGroup
	for n, g := range d.entries {
		wg.Go(func() {
			for at := 0; time.Now().Before(end); at++ {
				id := fmt.Sprintf("c%d-%d", n, at)
				p.mu.Lock()
				p.sentAt[id] = time.Now()
				p.mu.Unlock()
				get(net.JoinHostPort(g.address, fmt.Sprint(d.frontPort())), "/safe/"+id, id)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// stormCase grows the configuration, unless there is no trouble, and changes it in storms. It reports whether a gateway
// has handled a request as only an older configuration allows, later than configApply after the acknowledgement of a newer
// one.
func stormCase(rec *record, trouble bool) (broken bool, err error) {
	d, all, servers, err := setup(rec, 1, 4, 6, 5*time.Millisecond)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	version, content := int64(10), grownConfiguration(0)
	for n := range stormGrowths {
		if trouble {
			content = grownConfiguration((n + 1) * routesPerGrowth)
		}
		version++
		if !d.callAny("configuration.put", withRecent(version, content), 10*time.Second) {
			return false, fmt.Errorf("version r%d was not acknowledged", version)
		}
	}
	rec.line("the configuration r%d of %d bytes with %d routes is acknowledged", version, len(content), strings.Count(content, "pathPrefix"))
	time.Sleep(5 * time.Second)
	p := &probes{statuses: map[int]int{}, sentAt: map[string]time.Time{}}
	began := time.Now()
	end := began.Add(storms * stormTime)
	var wg sync.WaitGroup
	wg.Go(func() { p.callers(d, end.Add(configApply)) })
	var evacuatedAt time.Time
	wg.Go(func() {
		time.Sleep(time.Until(began.Add(2 * stormTime)))
		if d.callAny("evacuations.start&of="+evacuatedZone, nil, 4*time.Second) {
			evacuatedAt = time.Now()
			rec.line("the evacuation of %s is acknowledged", evacuatedZone)
		}
	})
	var mu sync.Mutex
	sent, acked := 0, 0
	slots := make(chan struct{}, ordersAtOnce)
	ticker := time.NewTicker(changeGap)
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		slots <- struct{}{}
		version++
		v := version
		sent++
		wg.Go(func() {
			ok := d.callAny("configuration.put", withRecent(v, content), 4*time.Second)
			at := time.Now()
			<-slots
			if !ok {
				return
			}
			mu.Lock()
			acked++
			mu.Unlock()
			p.check(d, v, at)
		})
	}
	wg.Wait()
	rec.line("%d changes were sent and %d acknowledged in %.1f s", sent, acked, time.Since(began).Seconds())
	rec.line("answers to requests on the routes of acknowledged versions: %v; %d stale", p.statuses, p.stale)
	late := 0
	for _, e := range servers {
		if e.zone != evacuatedZone || evacuatedAt.IsZero() {
			continue
		}
		for id, at := range p.sentAt {
			for _, r := range all.of(id) {
				if r.server == e.id && at.After(evacuatedAt.Add(evacuation+slack)) {
					late++
					rec.line("EVAC: request %s, sent %.3f s after the acknowledgement, has reached %s in %s", id, at.Sub(evacuatedAt).Seconds(), e.id, e.zone)
				}
			}
		}
	}
	rec.line("%d requests have reached the evacuated zone later than its bound", late)
	return p.stale > 0, nil
}
