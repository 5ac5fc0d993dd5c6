package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The operator's changes. The site file khonkh-gate.toml grows a configuration by 350 routes at a time, and sends the
// changes of a storm 0.06 s apart for up to 7 s; PROTOCOL.md has up to eight orders in progress.
const (
	routesPerGrowth = 350
	memoryGrowths   = 24
	changeGap       = 60 * time.Millisecond
	ordersAtOnce    = 8
	memoryCaseEnd   = 112 * time.Second
)

// word returns a random name, as names are drawn anew for each day.
func word(rr *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rr.IntN(len(letters))]
	}
	return string(b)
}

// grownConfiguration returns the text behind the version of a configuration with so many further routes, written like
// the example of PROTOCOL.md.
func grownConfiguration(routes int) string {
	rr := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	b.WriteString(`"routes":[{"name":"r-safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"service":"bell","attempts":2,"allowedRegions":[]}`)
	for range routes {
		fmt.Fprintf(&b, `,{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/%s/","kind":"safe","timeoutMs":%d,"targetLatencyMs":%d,"priority":%d,"service":"bell","attempts":2,"allowedRegions":[]}`,
			word(rr, 12), word(rr, 14), word(rr, 12), word(rr, 10), 800+rr.IntN(4000), 300+rr.IntN(700), rr.IntN(3))
	}
	b.WriteString(`],"services":[{"name":"bell","healthCheckPath":"/health","connectionLimit":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":9.2}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	return b.String()
}

// versioned returns the configuration with a version.
func versioned(version int64, content string) []byte {
	return []byte(`{"version":"r` + strconv.FormatInt(version, 10) + `",` + content)
}

// enforceMemory kills processes over their memory and starts them again, as the platform does, until stop is closed. It
// returns how often each has ended.
func enforceMemory(d *deployment, stop <-chan struct{}) map[string]int {
	ends := map[string]int{}
	shown := time.Now()
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(50 * time.Millisecond):
		}
		var line []string
		for _, p := range append(append([]*process{}, d.control...), d.entries...) {
			mb := p.rssMB()
			p.peakMB = max(p.peakMB, mb)
			line = append(line, fmt.Sprintf("%s %d MB", p.name, mb))
			over := mb > memoryMB
			if over {
				_ = p.command.Process.Kill()
			}
			select {
			case <-p.done:
			case <-time.After(time.Millisecond):
				if !over {
					continue
				}
				<-p.done
			}
			ends[p.name]++
			d.rec.line("%s ended, for the %d. time: it used %d MB of %d", p.name, ends[p.name], mb, memoryMB)
			time.Sleep(100 * time.Millisecond)
			if err := d.start(p, false); err != nil {
				d.rec.line("start %s: %v", p.name, err)
			}
		}
		if time.Since(shown) > 3*time.Second {
			shown = time.Now()
			d.rec.line("memory: %s", strings.Join(line, ", "))
		}
	}
}

// memoryCase grows the configuration, unless there is no trouble, and changes it often. It reports whether half of the
// core's processes have ended three times.
func memoryCase(rec *record, trouble bool) (broken bool, err error) {
	d, _, _, err := setup(rec, 1, 1, 2, 5*time.Millisecond)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	stop, ended := make(chan struct{}), make(chan map[string]int, 1)
	go func() { ended <- enforceMemory(d, stop) }()
	version, content := int64(10), grownConfiguration(0)
	for n := range memoryGrowths {
		if trouble {
			content = grownConfiguration((n + 1) * routesPerGrowth)
		}
		version++
		if !d.callAny("configuration.put", versioned(version, content), 10*time.Second) {
			return false, fmt.Errorf("version r%d was not acknowledged", version)
		}
	}
	rec.line("the configuration r%d of %d bytes with %d routes is acknowledged", version, len(content), strings.Count(content, "pathPrefix"))
	var acked, sent, newest atomic.Int64
	var wg sync.WaitGroup
	slots := make(chan struct{}, ordersAtOnce)
	ticker := time.NewTicker(changeGap)
	defer ticker.Stop()
	for time.Since(rec.began) < memoryCaseEnd {
		<-ticker.C
		slots <- struct{}{}
		version++
		v := version
		wg.Go(func() {
			defer func() { <-slots }()
			sent.Add(1)
			if d.callAny("configuration.put", versioned(v, content), memoryCaseEnd-time.Since(rec.began)) {
				acked.Add(1)
				for {
					seen := newest.Load()
					if seen >= v || newest.CompareAndSwap(seen, v) {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	ends := <-ended
	rec.line("%d changes were sent, %d acknowledged, the newest is r%d", sent.Load(), acked.Load(), newest.Load())
	for _, p := range d.control {
		rec.line("%s: at most %d MB, ended %d times", p.name, p.peakMB, ends[p.name])
	}
	readBack(d, rec, newest.Load())
	often := 0
	for _, p := range d.control {
		if ends[p.name] >= 3 {
			often++
		}
	}
	rec.line("%d of %d processes of the core ended three times", often, len(d.control))
	return 2*often >= len(d.control), nil
}

// readBack records the newest version that is read back.
func readBack(d *deployment, rec *record, newest int64) {
	for range 30 {
		for _, p := range d.control {
			if status, body := d.call(p, "configuration.get", nil); status == 200 {
				rec.line("%s reads back %.20q (newest acknowledged: r%d)", p.name, body[:bytes.IndexByte(body, ',')], newest)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.line("nothing was read back")
}
