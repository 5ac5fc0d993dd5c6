package crowd

import (
	"net"
	"strings"
	"testing"
)

// The paths at which crowds come.
const (
	// routed answers a megabyte, unrouted has no route.
	routed, unrouted = "/safe/1000000", "/none/1"
	readiness        = "/tanagerbarrow/readiness"
	putCall          = "/tanagerbarrow/rpc?call=configuration.put"
	heartbeatCall    = "/tanagerbarrow/rpc?call=instances.heartbeat&of=i-9"
)

// target is where a crowd comes.
type target struct {
	name, path string
	address    func(w *world) string
}

// targets are all places that a caller can reach over HTTP.
var targets = []target{
	{"route", routed, func(w *world) string { return join(w.entry.address, frontPort) }},
	{"no_route", unrouted, func(w *world) string { return join(w.entry.address, frontPort) }},
	{"readiness", readiness, func(w *world) string { return join(w.entry.address, readinessPort) }},
	{"operator", putCall, func(w *world) string { return join(w.coordinator.address, controlPort) }},
	{"heartbeat", heartbeatCall, func(w *world) string { return join(w.coordinator.address, controlPort) }},
	{"relay", routed, func(w *world) string { return join(w.entry.address, peerPort) }},
	{"metrics", "/metrics", func(w *world) string { return join(w.entry.address, metricsPort) }},
}

// play lets a crowd come to each of the named targets, each with processes of its own.
func play(t *testing.T, names string, act func(path string) member) {
	for _, to := range targets {
		if !strings.Contains(" "+names+" ", " "+to.name+" ") {
			continue
		}
		t.Run(to.name, func(t *testing.T) {
			w := newWorld(t)
			leave := gather(to.address(w), crowdSize, act(to.path))
			defer leave()
			w.check()
		})
	}
}

// allTargets names every target.
const allTargets = "route no_route readiness operator heartbeat relay metrics"

func TestBodiesOneByteShort(t *testing.T) {
	play(t, "route no_route readiness operator heartbeat relay", func(path string) member { return shortBody(path, shortBytes, whole) })
}

func TestBodiesOneByteShortInSmallPieces(t *testing.T) {
	play(t, "route operator", func(path string) member { return shortBody(path, shortBytes, 16<<10) })
}

func TestSmallBodiesOneByteShort(t *testing.T) {
	play(t, "route operator heartbeat", func(path string) member { return shortBody(path, 60<<10, whole) })
}

func TestChunkedBodiesWithoutEnd(t *testing.T) {
	play(t, "route no_route operator heartbeat", func(path string) member { return shortChunks(path, shortBytes, 4<<10) })
}

func TestBodiesFarOverTheLimit(t *testing.T) {
	play(t, "route operator", hugeBody)
}

func TestChunkedBodiesFarOverTheLimit(t *testing.T) {
	play(t, "route operator", endlessChunks)
}

func TestHeadsOfManyShortFields(t *testing.T) {
	play(t, allTargets, manyFields)
}

func TestHeadsWithoutEnd(t *testing.T) {
	play(t, allTargets, longHead)
}

func TestTrailersAndChunkExtensions(t *testing.T) {
	play(t, "route operator", trailers)
}

func TestRequestsSentAhead(t *testing.T) {
	play(t, allTargets, sentAhead)
}

func TestRequestsOfManyFieldsSentAhead(t *testing.T) {
	play(t, "route readiness", sentAheadWithFields)
}

func TestHeadsSentSlowly(t *testing.T) {
	play(t, "route readiness operator", slowHead)
}

func TestBodiesSentSlowly(t *testing.T) {
	play(t, "route operator", func(path string) member { return slowBody(path, shortBytes) })
}

func TestHeadsCutHalfWay(t *testing.T) {
	play(t, allTargets, halfHead)
}

func TestAnswersReadSlowly(t *testing.T) {
	play(t, "route metrics", slowReader)
}

// TestLinksOfStrangers lets strangers declare large messages at the port on which control
// hosts speak with the other processes.
func TestLinksOfStrangers(t *testing.T) {
	for name, act := range map[string]member{"unfinished": largeFrame(4<<20, 4<<20-1), "declared": largeFrame(60<<20, 1000), "silent": func(net.Conn) {}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leave := gather(join(w.coordinator.address, peerPort), crowdSize, act)
			defer leave()
			w.check()
		})
	}
}
