package routertrial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

const (
	// A round has from minFaults to maxFaults faults, which begin within roundSpread.
	minFaults            = 2
	maxFaults            = 4
	roundSpread          = 1200 * time.Millisecond
	betweenRounds        = 300 * time.Millisecond
	catchUpEvery         = 4  // one round in so many begins only after catchUp
	minServedAfterFaults = 60 // requests, until a soak counts as recovered
	// recoveryBound is how long after the end of all faults every machine must be ready and know every server;
	// up to two seconds of it go to the readiness checks of the platform.
	recoveryBound = 12 * time.Second
	rudeInterval  = 60 * time.Millisecond
	readInterval  = 40 * time.Millisecond
)

// SoakOptions describe a soak.
type SoakOptions struct {
	Program    string // path of the program, which must have the role faulty-router
	Seed       uint64
	Rounds     int     // of faults that overlap
	Rate       float64 // requests a second of all clients together
	OnlyFaults []string
	Large      bool // see Options
	Log        io.Writer
	LogLevel   string
}

// SoakReport is what came of a soak.
type SoakReport struct {
	Seed     uint64                  `json:"seed"`
	Seconds  float64                 `json:"seconds"`
	Injected map[string]int          `json:"injected"` // faults by name
	Total    routerstandin.KindTally `json:"total"`
	Reasons  []routerstandin.Reason  `json:"reasons"` // why requests were not served
	Verdicts ServerVerdicts          `json:"verdicts"`
	Rules    []routerstandin.Verdict `json:"rules"`
	Events   []string                `json:"events"`
}

// Violations is how many violations of rules there were.
func (r *SoakReport) Violations() int { return routerstandin.CountViolations(r.Rules) }

// soak is a running soak.
type soak struct {
	*Fleet
	soakOptions SoakOptions
	random      *rand.Rand // used by one goroutine only
	faults      []soakFault
	active      activeFaults

	mu               sync.Mutex
	reserved         map[*Machine]bool // by a fault that ends or stops the process
	reservedWithDisk int               // how many of them have a disk
	wipedAt          time.Time         // when a machine last came back with an empty disk
	wiping           bool
	injected         map[string]int

	configMu sync.Mutex // held while a configuration change is in progress
}

// Soak injects rounds of overlapping faults into a small fleet of real processes, while well-behaved and rude
// clients send, and checks the rules. The error is what ended the soak early.
func Soak(ctx context.Context, options SoakOptions) (*SoakReport, error) {
	fleet, err := StartFleet(ctx, Options{Program: options.Program, Rate: options.Rate, Seed: options.Seed,
		Log: options.Log, FaultInjection: true, LogLevel: options.LogLevel, Large: options.Large})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	s := &soak{Fleet: fleet, soakOptions: options, random: rand.New(rand.NewPCG(options.Seed, 77)),
		reserved: map[*Machine]bool{}, injected: map[string]int{}, active: newActiveFaults()}
	s.faults = selectFaults(options.OnlyFaults)
	if len(s.faults) == 0 {
		return nil, fmt.Errorf("no fault is called %v; name some of %v", options.OnlyFaults, SoakFaultNames())
	}
	return s.run(ctx)
}

// run injects the rounds of faults while clients send, and judges.
func (s *soak) run(ctx context.Context) (*SoakReport, error) {
	s.startClock()
	load := s.NewLoad()
	stopLoad := make(chan struct{})
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { load.Run(ctx, stopLoad) })
	background.Go(func() { s.readConfigurations(backgroundCtx) })
	background.Go(func() { s.watchMetrics(backgroundCtx) })
	rude := routerstandin.NewRudeClient(s.Entry, s.Observations, kinds, s.soakOptions.Seed, s.nextNumber)
	background.Go(func() { rude.Run(backgroundCtx, rudeInterval) })
	err := s.injectRounds(ctx)
	if err == nil {
		err = s.checkServingAfterFaults(ctx, load)
	}
	close(stopLoad)
	stop()
	background.Wait()
	if err == nil {
		err = s.readBackEverywhere(ctx)
	}
	if err == nil {
		err = s.checkLeaks(ctx)
	}
	verdicts := s.serverVerdicts(ctx)
	report := &SoakReport{Seed: s.soakOptions.Seed, Seconds: s.elapsed().Seconds(), Injected: s.injected,
		Total: load.Tally().Total(), Reasons: load.Tally().Reasons(), Verdicts: verdicts,
		Rules: s.Observations.Judge(), Events: s.Events()}
	return report, errors.Join(ctx.Err(), err)
}

func (s *soak) nextNumber() int { return int(s.requests.Add(1)) }

func (s *soak) injectRounds(ctx context.Context) error {
	for round := range s.soakOptions.Rounds {
		s.logEvent("round %d", round+1)
		if err := s.injectRound(ctx); err != nil {
			return err
		}
		if err := s.awaitRecovery(ctx); err != nil {
			return err
		}
		interval := betweenRounds
		if s.random.IntN(catchUpEvery) == 0 {
			interval = catchUp
		}
		if !routerstandin.Sleep(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

// injectRound injects some faults that begin at almost the same time, and waits for their end.
func (s *soak) injectRound(ctx context.Context) error {
	count := minFaults + s.random.IntN(maxFaults-minFaults+1)
	errs := make([]error, count)
	var injecting sync.WaitGroup
	for i := range count {
		fault := s.faults[s.random.IntN(len(s.faults))]
		rng := rand.New(rand.NewPCG(s.random.Uint64(), 1))
		delay := time.Duration(s.random.Int64N(int64(roundSpread)))
		injecting.Go(func() {
			if routerstandin.Sleep(ctx, delay) {
				errs[i] = fault.inject(ctx, s, rng)
			}
		})
		s.injected[fault.name]++
	}
	injecting.Wait()
	return errors.Join(errs...)
}

// awaitRecovery waits until every machine is ready and knows every server again; more than recoveryBound is a
// violation.
func (s *soak) awaitRecovery(ctx context.Context) error {
	began := time.Now()
	err := s.AwaitReady(ctx)
	took := time.Since(began).Round(10 * time.Millisecond)
	s.logEvent("ready again after %v", took)
	if took > recoveryBound {
		s.Observations.RecordViolation(routerstandin.RuleRecover,
			"the fleet was ready again only %v after the last fault", took)
	}
	var late *NotReadyError
	if errors.As(err, &late) {
		s.Observations.RecordViolation(routerstandin.RuleRecover, "%v", err)
	}
	return err
}

// checkServingAfterFaults checks that a change is acknowledged and requests are served once all faults have
// ended.
func (s *soak) checkServingAfterFaults(ctx context.Context, load *routerstandin.Load) error {
	if !routerstandin.Sleep(ctx, bounds.Touch) {
		return ctx.Err()
	}
	if err := s.changeConfig(ctx); err != nil {
		return err
	}
	before := load.Tally().Total()
	return s.await(ctx, "requests are served", readyTimeout, func() string {
		now := load.Tally().Total()
		if served := now.Served() - before.Served(); served < minServedAfterFaults {
			return fmt.Sprintf("%d served, %d rejected, %d failed", served, now.Rejected-before.Rejected,
				now.Failed-before.Failed)
		}
		return ""
	})
}

// changeConfig has the operator make a change on top of the configuration that the fleet shows now.
func (s *soak) changeConfig(ctx context.Context) error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.Operator.Refresh(bounded); err != nil {
		return err
	}
	next := nextConfiguration(s.Operator.Current())
	err := s.Operator.Change(bounded, next)
	var rejected *routerstandin.RejectedError
	if errors.As(err, &rejected) {
		s.Observations.RecordViolation(routerstandin.RuleConfig, "a change that nobody raced with was rejected: %v",
			err)
		return nil
	}
	return err
}
