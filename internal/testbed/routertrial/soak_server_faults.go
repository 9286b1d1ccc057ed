package routertrial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// drawServer returns a random running server.
func (s *soak) drawServer(rng *rand.Rand) *routerstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	return s.servers[rng.IntN(len(s.servers))]
}

// takeServer removes a random server from those that run, so that no other fault ends it too.
func (s *soak) takeServer(rng *rand.Rand) *routerstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	if len(s.servers) < len(serverPlan)-1 {
		return nil
	}
	at := rng.IntN(len(s.servers))
	server := s.servers[at]
	s.servers = slices.Delete(s.servers, at, at+1)
	return server
}

func injectServerCrash(ctx context.Context, s *soak, rng *rand.Rand) error {
	server := s.takeServer(rng)
	if server == nil {
		return nil
	}
	options := server.Options()
	s.logEvent("server %s of %s crashes", server.ID(), options.Service)
	server.Crash()
	s.retire(server)
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, 2*time.Second))
	return s.StartServer(options)
}

func injectServerDrain(ctx context.Context, s *soak, rng *rand.Rand) error {
	server := s.takeServer(rng)
	if server == nil {
		return nil
	}
	return s.drainServer(ctx, server)
}

// injectMisbehaviour has some servers misbehave for a while.
func injectMisbehaviour(ctx context.Context, s *soak, rng *rand.Rand) error {
	misbehaviour := routerstandin.Misbehaviours[rng.IntN(len(routerstandin.Misbehaviours))]
	fraction := 0.2 + 0.8*rng.Float64()
	var servers []*routerstandin.Server
	for range 1 + rng.IntN(4) {
		servers = append(servers, s.drawServer(rng))
	}
	for _, server := range servers {
		s.logEvent("server %s of %s %s (%.1f)", server.ID(), server.Tally().Service, misbehaviour, fraction)
		server.Misbehave(misbehaviour, fraction)
	}
	routerstandin.Sleep(ctx, between(rng, 500*time.Millisecond, 4*time.Second))
	for _, server := range servers {
		server.Misbehave(routerstandin.NoMisbehaviour, 0)
	}
	return nil
}
