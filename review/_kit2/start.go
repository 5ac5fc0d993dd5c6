package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// The first start.
const (
	// startSpan is the time within which all machines start.
	startSpan = 300 * time.Millisecond
	// founderLost is when the machine of the first seed loses its disk, after its start, and
	// founderBack how long it is away.
	founderLost = 200 * time.Millisecond
	founderBack = 500 * time.Millisecond
	// servingWait is how long the operator and a client go on trying.
	servingWait = 60 * time.Second
)

// playFounderDisk: during the first start of the whole system, while the last machine of the core is
// still starting, the one with the first seed loses its disk. It restarts at its old address with an
// empty folder and bootstrap false.
func playFounderDisk(w *world, trouble bool) ([]string, error) {
	began := time.Now()
	var core []*process
	for n := range controlHosts {
		core = append(core, w.coordinator(n))
	}
	for _, p := range core[:controlHosts-1] {
		if err := w.start(p, true); err != nil {
			return nil, err
		}
	}
	var entries []*process
	for n := range 2 {
		e := w.gateway(n, w.zone(n))
		if err := w.start(e, true); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	founder := core[0]
	if trouble {
		time.Sleep(founderLost - time.Since(began))
		w.signal(founder, syscall.SIGKILL)
		<-founder.ended
		if err := os.RemoveAll(founder.data); err != nil {
			return nil, err
		}
		w.note("%s has lost its disk", founder.name)
	}
	time.Sleep(startSpan - time.Since(began))
	if err := w.start(core[controlHosts-1], true); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(founderBack)
		if err := w.start(founder, false); err != nil {
			return nil, err
		}
	}
	for n := range 4 {
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: "huvo11a", zone: w.zone(n % controlHosts),
			address: fmt.Sprint(w.prefix, 100+n, ":", serverPort), work: 20 * time.Millisecond, firstControl: n,
		}
		if err := w.startServer(s); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	c := &client{w: w}
	go c.run(entries, 250*time.Millisecond, stop)
	_, err := w.order("call=configuration.put", configurationText(1,
		[]string{routeText("r-1", "/lepu270/", "safe", "huvo11a", 2*time.Second)}, []string{serviceText("huvo11a")}), servingWait)
	if err != nil {
		w.note("the configuration was not acknowledged: %v", err)
	} else {
		time.Sleep(8 * time.Second)
	}
	close(stop)
	time.Sleep(500 * time.Millisecond)
	for _, p := range core {
		if !p.running() {
			return nil, errors.New(p.name + " has ended")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.note("%d of %d requests were served", c.ok, c.all)
	if c.ok == 0 {
		return []string{fmt.Sprintf("Fault: none of %d requests was served in %.0f s, and the configuration was not acknowledged: %v",
			c.all, time.Since(began).Seconds(), err)}, nil
	}
	return nil, nil
}
