package membership

import (
	"context"
	"math/rand/v2"
	"time"
)

// indirectProbes is the number of other hosts that are asked to ping a host
// that did not answer.
const indirectProbes = 3

// maxSyncRounds bounds the exchanges of one sync; the next ping starts another
// sync for the rest.
const maxSyncRounds = 64

// probeLoop probes one other entry every pingPeriod. Each round covers every
// entry once, in a new random order.
func (n *Node) probeLoop(ctx context.Context) error {
	tick := time.NewTicker(pingPeriod)
	defer tick.Stop()
	var round []int
	for len(n.links) > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if len(round) == 0 {
			round = rand.Perm(len(n.links))
		}
		n.probe(ctx, n.links[round[0]].host)
		round = round[1:]
	}
	return nil
}

// probe pings a host, first directly and then through other hosts, and starts a
// sync if the digests differ. A host that answers neither way becomes suspect.
func (n *Node) probe(ctx context.Context, host string) {
	var pong Pong
	err := n.call(ctx, host, MethodPing, Ping{Digest: n.digest()}, &pong)
	switch {
	case ctx.Err() != nil:
	case err == nil && pong.Differs:
		n.sync(ctx, host)
	case err != nil && n.hosts.isAlive(host) && !n.probeIndirectly(ctx, host):
		if s, changed := n.hosts.SetSuspect(host, time.Now()); changed {
			n.broadcast(s)
		}
	}
}

// digest returns a hash of the node's table and host states.
func (n *Node) digest() uint64 { return n.hosts.Digest() ^ n.table.Digest() }

// probeIndirectly asks up to indirectProbes live hosts to ping the host, and
// reports whether it answered one of them.
func (n *Node) probeIndirectly(ctx context.Context, host string) bool {
	answers := make(chan bool, indirectProbes)
	asked := 0
	live := n.hosts.Live()
	for _, i := range rand.Perm(len(live)) {
		name := live[i].Name
		if asked == indirectProbes {
			break
		}
		if name == host || name == n.hosts.self {
			continue
		}
		asked++
		go func() {
			var probed ProbeResult
			err := n.requestProbe(ctx, name, Probe{Host: host}, &probed)
			answers <- err == nil && probed.Answered
		}()
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// requestProbe asks a host to ping another host. Its timeout is twice
// callTimeout, because it includes two calls.
func (n *Node) requestProbe(ctx context.Context, host string, p Probe, result *ProbeResult) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.transport.Call(ctx, host, MethodProbe, p, result)
}

// sync fetches the changes that this node lacks from a host and sends those
// that the host lacks. It reports whether the host answered and had joined the
// other entries.
func (n *Node) sync(ctx context.Context, host string) (joined bool) {
	for range maxSyncRounds {
		request := Sync{Versions: n.table.SyncVersions(), Hosts: n.hosts.States()}
		var answer SyncResult
		if n.call(ctx, host, MethodSync, request, &answer) != nil {
			return joined
		}
		joined = answer.Joined
		n.applyRemote(answer.Hosts, answer.Deltas)
		missing := n.table.MissingDeltas(answer.Versions)
		if len(missing) > 0 {
			_ = n.call(ctx, host, MethodPush, Push{Deltas: missing}, &PushResult{})
		}
		if len(missing) == 0 && len(answer.Deltas) == 0 {
			return joined
		}
	}
	return joined
}

// applyRemote applies the host states and changes that another entry sent.
func (n *Node) applyRemote(states []HostState, deltas []Delta) {
	now := time.Now()
	if n.hosts.Update(states, now) {
		self := n.hosts.Self()
		if self.Epoch != n.table.Self().Epoch {
			n.table.SetEpoch(self.Epoch, now)
		}
		n.broadcast(self)
	}
	before := n.table.ownVersion()
	for _, d := range deltas {
		n.table.Apply(d, now, n.hosts.OriginAlive(d.Origin))
	}
	if n.table.ownVersion() != before {
		n.signalPushes()
	}
}
