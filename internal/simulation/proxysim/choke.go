package proxysim

// trackOverload records since when a server is overloaded or idle, and schedules the begin or end of choking
// for when that has lasted long enough.
func (s *Sim) trackOverload(serverIndex int32) {
	servers := &s.scenario.Servers
	srv := &s.servers[serverIndex]
	if servers.ChokeQueue <= 0 {
		return
	}
	if float64(srv.queued()) > servers.ChokeQueue*float64(srv.cores) {
		if srv.overloadedSince == 0 && !srv.choked {
			srv.overloadedSince = s.now
			srv.chokeSeq++
			s.add(s.now+int64(servers.ChokeAfter),
				event{kind: evChoke, target: serverIndex, stamp: srv.chokeSeq})
		}
	} else {
		srv.overloadedSince = 0
	}
	if idle := srv.inSystem()*2 <= int(srv.cores); !idle {
		srv.idleSince = 0
	} else if srv.choked && srv.idleSince == 0 {
		srv.idleSince = s.now
		s.add(s.now+int64(servers.ChokeIdle),
			event{kind: evChoke, target: serverIndex, detail: chokeEnds, stamp: uint64(s.now)})
	}
}

// chokeTimeout marks the stamp of an event that ends choking after the longest time: the rest of it is twice
// the server's chokeSeq. The stamp of one that ends choking after idleness is when that began, and the stamp
// of one that begins choking is chokeSeq.
const chokeTimeout = 1 << 63

// timeoutStamp is the stamp of the event that ends choking after the longest time.
func (srv *server) timeoutStamp() uint64 { return srv.chokeSeq<<1 | chokeTimeout }

// updateChoke begins choking where the overload has lasted, and ends it where the idleness has, or after its
// longest time.
func (s *Sim) updateChoke(serverIndex int32, ends bool, stamp uint64) {
	srv := &s.servers[serverIndex]
	idleLasted := srv.idleSince != 0 && uint64(srv.idleSince) == stamp
	switch {
	case ends && srv.choked && (idleLasted || stamp == srv.timeoutStamp()):
		srv.choked, srv.overloadedSince, srv.idleSince = false, 0, 0
		s.trackOverload(serverIndex)
	case !ends && !srv.choked && srv.overloadedSince != 0 && srv.chokeSeq == stamp:
		srv.choked, srv.everChoked = true, true
		s.add(s.now+int64(s.scenario.Servers.MaxChoke),
			event{kind: evChoke, target: serverIndex, detail: chokeEnds, stamp: srv.timeoutStamp()})
	}
}
