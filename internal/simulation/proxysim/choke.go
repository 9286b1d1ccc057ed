package proxysim

// trackOverload records since when a server is overloaded or idle, and schedules the begin or end of choking
// for when that has lasted long enough.
func (s *Sim) trackOverload(i int32) {
	o := &s.scenario.Servers
	v := &s.servers[i]
	if o.ChokeQueue <= 0 {
		return
	}
	if float64(v.queued()) > o.ChokeQueue*float64(v.cores) {
		if v.overloadedSince == 0 && !v.choked {
			v.overloadedSince = s.now
			v.chokeSeq++
			s.add(s.now+int64(o.ChokeAfter), evChoke, i, 0, v.chokeSeq)
		}
	} else {
		v.overloadedSince = 0
	}
	if idle := v.inSystem()*2 <= int(v.cores); !idle {
		v.idleSince = 0
	} else if v.choked && v.idleSince == 0 {
		v.idleSince = s.now
		s.add(s.now+int64(o.ChokeIdle), evChoke, i, 1, uint64(s.now))
	}
}

// chokeTimeout marks the stamp of an event that ends choking after the longest time.
const chokeTimeout = 1 << 63

// updateChoke begins choking where the overload has lasted, and ends it where the idleness has, or after its
// longest time.
func (s *Sim) updateChoke(i int32, ends bool, stamp uint64) {
	v := &s.servers[i]
	idleLasted := v.idleSince != 0 && uint64(v.idleSince) == stamp
	switch {
	case ends && v.choked && (idleLasted || stamp == v.chokeSeq<<1|chokeTimeout):
		v.choked, v.overloadedSince, v.idleSince = false, 0, 0
		s.trackOverload(i)
	case !ends && !v.choked && v.overloadedSince != 0 && v.chokeSeq == stamp:
		v.choked, v.everChoked = true, true
		s.add(s.now+int64(s.scenario.Servers.MaxChoke), evChoke, i, 1, v.chokeSeq<<1|chokeTimeout)
	}
}
