package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/backend"
	"tanagerbarrow/membership"
)

// endpointsPerService is the number of backend servers of one service.
const endpointsPerService = 20

// announcer announces one backend server to the entries, as docs/BACKENDS.md
// specifies.
type announcer struct {
	system     *system
	handlers   []*echo.Echo
	record     membership.BackendServer
	entryIndex int
	random     *rand.Rand
}

// announceAll starts the announcers of all backend servers.
func (s *system) announceAll(servers int, restartsPerDay float64) {
	var handlers []*echo.Echo
	for _, n := range s.nodes {
		e := echo.New()
		(&backend.AnnounceHandler{Key: "key", Regions: zones, Announce: n.Announce}).Register(e)
		handlers = append(handlers, e)
	}
	for i := range servers {
		a := &announcer{
			system: s, handlers: handlers, random: rand.New(rand.NewPCG(uint64(i), 1)),
			record: membership.BackendServer{
				Service:          fmt.Sprintf("service-%d", i/endpointsPerService),
				Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 8080),
				AvailabilityZone: string(rune('a' + i%len(zones))),
				Slots:            2, Generation: 1764823200, State: membership.Ready,
			},
		}
		a.entryIndex = a.random.IntN(len(handlers))
		s.wg.Go(func() { a.run(restartsPerDay) })
	}
}

// run announces the backend server until the system stops, and restarts it at random
// intervals.
func (a *announcer) run(restartsPerDay float64) {
	a.pause(time.Duration(a.random.Int64N(int64(time.Second))))
	restart := a.untilRestart(restartsPerDay)
	for a.system.ctx.Err() == nil {
		if wait := a.announce() / 3; time.Until(restart) > wait {
			a.pause(wait)
			continue
		}
		a.pause(time.Until(restart))
		a.record.State = membership.Leaving
		a.announce()
		a.record.Generation, a.record.State = a.record.Generation+1, membership.Cold
		a.announce()
		a.record.State = membership.Ready
		restart = a.untilRestart(restartsPerDay)
	}
}

// untilRestart returns the time of the next restart of the backend server, at most
// 365 days ahead.
func (a *announcer) untilRestart(perDay float64) time.Time {
	day := float64(24 * time.Hour)
	return time.Now().Add(time.Duration(min(a.random.ExpFloat64()*day/max(perDay, 1e-9), 365*day)))
}

// pause waits, or returns early when the system stops.
func (a *announcer) pause(d time.Duration) {
	select {
	case <-a.system.ctx.Done():
	case <-time.After(d):
	}
}

// announce sends one announcement and returns the granted lease. It counts the bytes
// of the request and the response, and selects the entry of the next announcement from
// the response.
func (a *announcer) announce() time.Duration {
	a.record.Sequence++
	body, _ := json.Marshal(a.record)
	r := httptest.NewRequest(http.MethodPost, "http://10.1.1.1:7200"+backend.AnnouncePath, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(backend.AnnounceKeyHeader, "key")
	requestDump, _ := httputil.DumpRequest(r, true)
	w := httptest.NewRecorder()
	a.handlers[a.entryIndex].ServeHTTP(w, r.WithContext(a.system.ctx))
	responseDump, _ := httputil.DumpResponse(w.Result(), true)
	a.system.traffic.announceBytes.Add(int64(len(requestDump) + len(responseDump)))
	a.system.traffic.announcements.Add(1)
	var granted backend.AnnounceResponse
	if json.Unmarshal(w.Body.Bytes(), &granted) != nil || granted.LeaseMillis == 0 {
		return minLease
	}
	var n int
	if _, err := fmt.Sscanf(granted.AnnounceTo, "10.1.1.%d:7200", &n); err == nil {
		a.entryIndex = n - 1
	}
	return time.Duration(granted.LeaseMillis) * time.Millisecond
}
