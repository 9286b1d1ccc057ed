package routertrial

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// injectConfigBurst makes changes in quick succession.
func injectConfigBurst(ctx context.Context, s *soak, rng *rand.Rand) error {
	count := 3 + rng.IntN(12)
	s.logEvent("%d changes of the configuration", count)
	for range count {
		if err := s.changeConfig(ctx); err != nil {
			s.logEvent("a change got no clear answer: %v", err)
			return ctx.Err()
		}
		routerstandin.Sleep(ctx, between(rng, time.Millisecond, 120*time.Millisecond))
	}
	return nil
}

// injectConfigRace has two operators change the same version at once.
func injectConfigRace(ctx context.Context, s *soak, rng *rand.Rand) error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.Operator.Refresh(bounded); err != nil {
		return ctx.Err()
	}
	base := s.Operator.Current()
	second := s.newOperator()
	second.BuildOn(base)
	one, other := nextConfiguration(base), nextConfiguration(base)
	other.Routes[0].TimeoutMs += 500
	if rng.IntN(2) == 0 {
		other.Version++
	}
	s.logEvent("two operators race for versions %d and %d", one.Version, other.Version)
	results := make(chan error, 2)
	go func() { results <- s.Operator.Put(bounded, one) }()
	go func() { results <- second.Change(bounded, other) }()
	first, last := <-results, <-results
	var rejected *routerstandin.RejectedError
	if errors.As(first, &rejected) && errors.As(last, &rejected) {
		s.Observations.RecordViolation(routerstandin.RuleConfig, "of two operators none won: %v and %v", first,
			last)
	}
	return ctx.Err()
}

// injectDroppedResponses drops responses of the fleet to operators and servers for a while.
func injectDroppedResponses(ctx context.Context, s *soak, rng *rand.Rand) error {
	permille := int64(200 + rng.IntN(500))
	s.logEvent("%d in 1000 answers to servers and operators are lost", permille)
	faultCtx, end := context.WithCancel(ctx)
	defer end()
	go s.recordFaultUntil(faultCtx, s.Machines...)
	s.droppedPermille.Store(permille)
	routerstandin.Sleep(ctx, between(rng, time.Second, 4*time.Second))
	s.droppedPermille.Store(0)
	return nil
}

// injectRudeClients runs several rude clients at once for a while.
func injectRudeClients(ctx context.Context, s *soak, rng *rand.Rand) error {
	s.logEvent("many rude clients")
	rude, end := context.WithTimeout(ctx, between(rng, time.Second, 4*time.Second))
	defer end()
	done := make(chan struct{})
	const clients = 6
	for range clients {
		client := routerstandin.NewRudeClient(s.Entry, s.Observations, kinds, rng.Uint64(), s.nextNumber)
		go func() {
			defer func() { done <- struct{}{} }()
			client.Run(rude, 5*time.Millisecond)
		}()
	}
	for range clients {
		<-done
	}
	return nil
}
