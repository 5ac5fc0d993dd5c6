package broker

import (
	"time"
)

// The constants of what is learned from ended requests.
const (
	// poisonCrashes is the number of servers that equal requests may have
	// crashed before they are refused.
	poisonCrashes = 2
	// poisonMemory is how long such a request is remembered.
	poisonMemory = 30 * time.Second
	// clearAfter is how long after a lost connection a good health check clears a
	// server of having crashed: a check that ended before the loss is told within
	// the longest way between regions.
	clearAfter = 60 * time.Millisecond
	// maxPoison bounds the remembered requests.
	maxPoison = 10_000
	// maxRelative bounds the weight of one slow answer.
	maxRelative = 6
)

// suspect is a request whose runs have lost their connection, on the servers that
// have not shown since then that they live.
type suspect struct {
	servers map[uint32]time.Time
	last    time.Time
}

// Release ends a grant and learns from how the request went.
func (b *Broker) Release(name string, r Release, now time.Time) {
	g := b.grants[r.ID]
	if g == nil || g.entry.name != name {
		return
	}
	delete(b.grants, r.ID)
	b.free(g)
	s := g.server
	if s.paceUntil.IsZero() {
		b.notePace(s, r.Pace, now)
	}
	b.learn(g, r, now)
	if r.KeepAliveMillis > 0 {
		warm := g.entry.warm[s.Number]
		if warm == nil {
			warm = &warmth{}
			g.entry.warm[s.Number] = warm
		}
		if !now.Before(warm.until) {
			warm.idle = 0
		}
		warm.idle++
		warm.until = now.Add(millis(r.KeepAliveMillis))
	}
	b.offer(s, now)
}

// learn changes what is believed about the server.
func (b *Broker) learn(g *grant, r Release, now time.Time) {
	s, p := g.server, b.pool(g.server.Record.Service)
	switch r.Outcome {
	case Answered:
		took := millis(r.ElapsedMillis)
		s.noteSuccess(now, min(float64(took)/float64(max(p.work, time.Millisecond)), maxRelative))
		p.answer += workWeight * (float64(r.AnswerBytes) - p.answer)
		if !s.cold(now) {
			p.work = time.Duration((1-workWeight)*float64(p.work) + workWeight*float64(min(took, maxRelative*p.work)))
		}
	case Failed, Refused:
		s.noteFailure(now)
	case Unreachable:
		s.noteFailure(now)
		s.eject(now)
	case ConnectionLost:
		s.noteFailure(now)
		s.eject(now)
		b.suspect(g, now)
	case WrongServer:
		b.drop(s)
	case Abandoned:
		if millis(r.ElapsedMillis) > 2*p.work {
			s.noteFailure(now)
		}
	case Unused:
	}
}

// suspect notes that a request lost its connection on a server.
func (b *Broker) suspect(g *grant, now time.Time) {
	if g.fingerprint == 0 {
		return
	}
	x := b.poison[g.fingerprint]
	if x == nil {
		if len(b.poison) >= maxPoison {
			return
		}
		x = &suspect{servers: map[uint32]time.Time{}}
		b.poison[g.fingerprint] = x
	}
	x.servers[g.server.Number] = now
	x.last = now
	g.server.suspects = append(g.server.suspects, x)
}

// clear takes a server that lives from the requests that are suspected to have
// crashed it: its connection was only reset.
func (s *Server) clear(now time.Time) {
	kept := s.suspects[:0]
	for _, x := range s.suspects {
		if now.Sub(x.servers[s.Number]) < clearAfter {
			kept = append(kept, x)
			continue
		}
		delete(x.servers, s.Number)
	}
	s.suspects = kept
}

// poisoned reports whether equal requests have crashed servers.
func (b *Broker) poisoned(a Ask) bool {
	x := b.poison[a.Fingerprint]
	return x != nil && len(x.servers) >= poisonCrashes
}

// forgetPoison forgets old suspects.
func (b *Broker) forgetPoison(now time.Time) {
	for fingerprint, x := range b.poison {
		if now.Sub(x.last) > poisonMemory {
			delete(b.poison, fingerprint)
		}
	}
}

// Sample takes in a health check.
func (b *Broker) Sample(m Sample, now time.Time) {
	s := b.servers[m.Server]
	if s == nil {
		return
	}
	if m.WrongServer {
		b.drop(s)
		return
	}
	b.notePace(s, m.Pace, now)
	s.noteRunning(m.Running, now)
	s.sampledAt = now
	s.paceUntil, s.watchedTo = time.Time{}, now.Add(watchHold)
	if m.PaceValidMillis > 0 {
		s.paceUntil, s.watchedTo = now.Add(millis(m.PaceValidMillis)), time.Time{}
	}
	s.unhealthy = !m.Healthy
	if m.Healthy {
		s.clear(now)
		s.sound = now
		s.Record.Unconfirmed = false
	}
	if m.ColdMillis >= 0 {
		s.Record.ColdUntil = now.Add(millis(m.ColdMillis))
	}
	b.offer(s, now)
}

// notePace takes in a told pace.
func (b *Broker) notePace(s *Server, pace int, now time.Time) {
	if pace <= 0 {
		return
	}
	s.pace, s.paceAt = pace, now
	p := b.pool(s.Record.Service)
	p.pace += paceWeight * (float64(pace) - p.pace)
}
