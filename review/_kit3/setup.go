package main

import (
	"fmt"
	"time"
)

// setup starts a deployment with endpoints.
func setup(rec *record, tolerated, entries, endpoints int, work time.Duration) (*deployment, *runs, []*endpoint, error) {
	d, err := newDeployment(rec, programPath, tolerated, entries)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := d.startAll(); err != nil {
		return d, nil, nil, err
	}
	if !d.callAny("configuration.put", simpleConfiguration(1), 15*time.Second) {
		return d, nil, nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	all := &runs{byID: map[string][]run{}}
	var servers []*endpoint
	for n := range endpoints {
		e, err := newEndpoint(d, n, "bell", zones[n%3][0], work, all)
		if err != nil {
			return d, nil, nil, err
		}
		servers = append(servers, e)
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return d, nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return d, all, servers, nil
}
