package membership

import (
	"context"
	"math/rand/v2"
	"time"
)

// relays is how many other hosts are asked to ping a host that did not answer.
const relays = 3

// maxSyncRounds bounds the exchanges of one sync; the next ping goes on.
const maxSyncRounds = 64

// probeForever pings one other entry after another, each once a round, in an
// order that changes every round.
func (n *Node) probeForever(ctx context.Context) error {
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

// probe pings a host, directly and then through others, and exchanges what
// differs. A host that does not answer either way becomes suspect.
func (n *Node) probe(ctx context.Context, host string) {
	var pong Pong
	err := n.call(ctx, host, MethodPing, Ping{Digest: n.digest()}, &pong)
	switch {
	case ctx.Err() != nil:
	case err == nil && pong.Differs:
		n.sync(ctx, host)
	case err != nil && n.hosts.isAlive(host) && !n.probeThroughOthers(ctx, host):
		if s, news := n.hosts.Suspect(host, time.Now()); news {
			n.tell(s)
		}
	}
}

// digest returns a hash over all that the node knows.
func (n *Node) digest() uint64 { return n.hosts.Digest() ^ n.table.Digest() }

// probeThroughOthers asks a few live hosts to ping the host and reports whether
// it answered one of them.
func (n *Node) probeThroughOthers(ctx context.Context, host string) bool {
	answers := make(chan bool, relays)
	asked := 0
	live := n.hosts.Live()
	for _, i := range rand.Perm(len(live)) {
		name := live[i].Name
		if asked == relays {
			break
		}
		if name == host || name == n.hosts.self {
			continue
		}
		asked++
		go func() {
			var probed Probed
			err := n.relay(ctx, name, Probe{Host: host}, &probed)
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

// relay asks a host to ping another; it takes up to two calls' time.
func (n *Node) relay(ctx context.Context, host string, p Probe, into *Probed) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.transport.Call(ctx, host, MethodProbe, p, into)
}

// sync fetches from a host what this node lacks and sends what the host lacks.
// It reports whether the host answered and had joined the others.
func (n *Node) sync(ctx context.Context, host string) (joined bool) {
	for range maxSyncRounds {
		ask := Sync{Marks: n.table.Known(), Hosts: n.hosts.States()}
		var got Synced
		if n.call(ctx, host, MethodSync, ask, &got) != nil {
			return joined
		}
		joined = got.Joined
		n.learn(got.Hosts, got.Deltas)
		missing := n.table.Missing(got.Marks)
		if len(missing) > 0 {
			_ = n.call(ctx, host, MethodPush, Push{Deltas: missing}, &Pushed{})
		}
		if len(missing) == 0 && len(got.Deltas) == 0 {
			return joined
		}
	}
	return joined
}

// learn takes in what another entry says.
func (n *Node) learn(states []HostState, deltas []Delta) {
	now := time.Now()
	if n.hosts.Update(states, now) {
		self := n.hosts.Self()
		if self.Epoch != n.table.Self().Epoch {
			n.table.Renew(self.Epoch, now)
		}
		n.tell(self)
	}
	before := n.table.ownVersion()
	for _, d := range deltas {
		n.table.Apply(d, now, n.hosts.OriginAlive(d.Origin))
	}
	if n.table.ownVersion() != before {
		n.signalAll()
	}
}
