package proxysim

// idleConns are the idle connections of a proxy to a server: the times of their last use, in ascending order.
type idleConns struct{ parkedAt []int64 }

// idleConnsOf are the idle connections of proxy i to a server.
func (s *Sim) idleConnsOf(i, to int32) *idleConns {
	return &s.idleConns[int(i)*s.registry.maxServers+int(to)]
}

// reuseConn takes the connection that was used last, and reports whether there was one.
func (s *Sim) reuseConn(i, to int32) bool {
	p := s.idleConnsOf(i, to)
	if len(p.parkedAt) == 0 || !s.servers[to].up {
		return false
	}
	p.parkedAt = p.parkedAt[:len(p.parkedAt)-1]
	return true
}

// parkConn retains a connection for the next attempt, or closes it.
func (s *Sim) parkConn(i, to int32, reusable bool) {
	if !reusable {
		s.servers[to].conns--
		return
	}
	p := s.idleConnsOf(i, to)
	p.parkedAt = append(p.parkedAt, s.now)
	s.add(s.now+int64(s.scenario.Network.IdleTimeout), evIdleTimeout, i, to, 0)
}

// closeIdleConns closes the connections whose idle timeout has passed.
func (s *Sim) closeIdleConns(i, to int32) {
	p := s.idleConnsOf(i, to)
	n := 0
	for n < len(p.parkedAt) && p.parkedAt[n] <= s.now-int64(s.scenario.Network.IdleTimeout) {
		n++
	}
	if n > 0 {
		p.parkedAt = p.parkedAt[:copy(p.parkedAt, p.parkedAt[n:])]
		s.servers[to].conns -= int32(n)
	}
}
