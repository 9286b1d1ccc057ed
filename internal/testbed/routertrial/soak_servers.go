package routertrial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// drawServer returns one of the servers that run.
func (s *soak) drawServer(lot *rand.Rand) *routerstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	return s.servers[lot.IntN(len(s.servers))]
}

// takeServer takes one server out of those that run, so that no other trouble ends it too.
func (s *soak) takeServer(lot *rand.Rand) *routerstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	if len(s.servers) < len(serverPlan)-1 {
		return nil
	}
	at := lot.IntN(len(s.servers))
	server := s.servers[at]
	s.servers = slices.Delete(s.servers, at, at+1)
	return server
}

func (s *soak) noteEnded(server *routerstandin.Server) {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	s.ended = append(s.ended, server.Tally())
}

func playCrashServer(ctx context.Context, s *soak, lot *rand.Rand) error {
	server := s.takeServer(lot)
	if server == nil {
		return nil
	}
	options := server.Options()
	s.event("server %s of %s crashes", server.ID(), options.Service)
	server.Crash()
	s.noteEnded(server)
	sleepFor(ctx, between(lot, 50*time.Millisecond, 2*time.Second))
	return s.StartServer(options)
}

func playDrainServer(ctx context.Context, s *soak, lot *rand.Rand) error {
	server := s.takeServer(lot)
	if server == nil {
		return nil
	}
	options := server.Options()
	options.Address = hostOf(options.Address) + ":0"
	if err := s.StartServer(options); err != nil {
		return err
	}
	s.event("server %s of %s leaves", server.ID(), options.Service)
	stopWatching := context.AfterFunc(ctx, server.Stop)
	defer stopWatching()
	acknowledged := server.Leave(bounds.Drain)
	s.noteEnded(server)
	s.event("server %s has left, acknowledged: %t", server.ID(), acknowledged)
	return nil
}

// playMisbehave has servers treat a part of their requests badly.
func playMisbehave(ctx context.Context, s *soak, lot *rand.Rand) error {
	how := routerstandin.Misbehaviours[lot.IntN(len(routerstandin.Misbehaviours))]
	part := 0.2 + 0.8*lot.Float64()
	var servers []*routerstandin.Server
	for range 1 + lot.IntN(4) {
		servers = append(servers, s.drawServer(lot))
	}
	for _, server := range servers {
		s.event("server %s of %s %s (%.1f)", server.ID(), server.Tally().Service, how, part)
		server.Misbehave(how, part)
	}
	sleepFor(ctx, between(lot, 500*time.Millisecond, 4*time.Second))
	for _, server := range servers {
		server.Misbehave(routerstandin.Behaves, 0)
	}
	return nil
}
