package proxysim

// idleConns are the idle connections of a proxy to a server: the times of their last use, in ascending order.
type idleConns struct{ parkedAt []int64 }

// idleConnsOf are the idle connections of a proxy to a server.
func (s *Sim) idleConnsOf(proxyIndex, serverIndex int32) *idleConns {
	return &s.idleConns[int(proxyIndex)*s.registry.maxServers+int(serverIndex)]
}

// reuseConn takes the connection that was used last, and reports whether there was one.
func (s *Sim) reuseConn(proxyIndex, serverIndex int32) bool {
	idle := s.idleConnsOf(proxyIndex, serverIndex)
	if len(idle.parkedAt) == 0 || !s.servers[serverIndex].up {
		return false
	}
	idle.parkedAt = idle.parkedAt[:len(idle.parkedAt)-1]
	return true
}

// parkConn retains a connection for the next attempt, or closes it.
func (s *Sim) parkConn(proxyIndex, serverIndex int32, reusable bool) {
	if !reusable {
		s.servers[serverIndex].conns--
		return
	}
	idle := s.idleConnsOf(proxyIndex, serverIndex)
	idle.parkedAt = append(idle.parkedAt, s.now)
	s.add(s.now+int64(s.scenario.Network.IdleTimeout),
		event{kind: evIdleTimeout, target: proxyIndex, detail: serverIndex})
}

// closeIdleConns closes the connections whose idle timeout has passed.
func (s *Sim) closeIdleConns(proxyIndex, serverIndex int32) {
	idle := s.idleConnsOf(proxyIndex, serverIndex)
	expired := 0
	for expired < len(idle.parkedAt) && idle.parkedAt[expired] <= s.now-int64(s.scenario.Network.IdleTimeout) {
		expired++
	}
	if expired > 0 {
		idle.parkedAt = idle.parkedAt[:copy(idle.parkedAt, idle.parkedAt[expired:])]
		s.servers[serverIndex].conns -= int32(expired)
	}
}
