package routersim

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// Engine says how a model server works.
type Engine struct {
	Slots              int
	StepMs             float64 // a step of the batch: a token of each running request
	StepSlotMs         float64 // what each running request adds to a step
	PrefillTokensPerMs float64 // tokens of prompts
	// what a million pairs of tokens add that reading a prompt compares with each other
	MsPerMillionPairs float64
	SetupMs           float64 // of each request
	PrefillChunk      int     // tokens of prompts that a reading server reads in a step
	CacheTokens       int
	TokenBytes        float64
	LinkMegabits      float64
}

const (
	decodePrefillFactor = 2               // times as long as a reading server a writing one takes to read
	decodeChunkDivisor  = 4               // times smaller are the pieces that a writing server reads
	crossZoneFactor     = 2               // times as long a move takes between zones
	maxTransferQueue    = 2 * time.Second // a move that would wait for longer is not begun
)

// job is a request at a server.
type job struct {
	role       scheduler.Role
	request    *scheduler.Request
	uncached   int // tokens
	outputLeft int // still to make
	urgency    int // prompts that are not begun are read in the order of their urgency, 0 first
	started    bool
	pinned     int
	abandoned  bool // its caller has left

	onFirstToken func() // at the first token, for a read when it is done
	onLastToken  func() // at the last token
}

// server is one model server.
type server struct {
	*catalog.Server
	clock            *clock
	engine           *Engine
	speed            float64
	transferFactor   float64 // times as long moves take
	cache            *prefixCache
	waiting, running []*job
	stepping, dead   bool
	linkFreeAt       time.Duration
	onCrash          []func() // of jobs that a crash ends
	counts           *Counts
}

// load is what the server tells of itself with an answer: a running request counts itself, a read that has
// ended does not.
func (s *server) load(role scheduler.Role) scheduler.Load {
	running := len(s.running)
	if role == scheduler.Prefill {
		running--
	}
	return scheduler.Load{Running: running, Waiting: len(s.waiting), Slots: s.engine.Slots}
}

// enqueue lets a job wait for a slot, after the time it takes to set it up.
func (s *server) enqueue(j *job) {
	s.clock.after(milliseconds(s.engine.SetupMs), func() {
		s.waiting = append(s.waiting, j)
		s.step()
	})
}

// fetchPrefix moves the memory of a prompt here, one move after the other, and then runs the job. It returns
// false where the move would have to wait for too long.
func (s *server) fetchPrefix(j *job, from *server) bool {
	engine := s.engine
	const bits, perMs = 8, 1000
	ms := float64(j.request.PromptTokens) * engine.TokenBytes * bits /
		(engine.LinkMegabits * perMs) * s.transferFactor
	if from.Zone != s.Zone {
		ms *= crossZoneFactor
		s.counts.CrossZoneTransfers++
	}
	s.counts.Transfers++
	start := max(s.linkFreeAt, s.clock.now)
	if start-s.clock.now > maxTransferQueue {
		return false
	}
	s.linkFreeAt = start + milliseconds(ms)
	s.clock.after(s.linkFreeAt-s.clock.now, func() {
		s.cache.insert(j.request.Segments)
		s.enqueue(j)
	})
	return true
}

// admit gives free slots to waiting jobs.
func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.engine.Slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.abandoned {
			continue
		}
		if j.role != scheduler.Decode {
			s.planPrefill(j)
		}
		j.pinned = j.uncached + j.outputLeft
		s.cache.pin(j.pinned)
		s.running = append(s.running, j)
	}
}

// planPrefill finds what the job has to read and counts shared parts that are read.
func (s *server) planPrefill(j *job) {
	parts := j.request.Segments
	cached, _ := s.cache.lookUp(parts)
	j.uncached = j.request.PromptTokens - cached
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
	}
	s.counts.SharedTokens += shared
	s.counts.SharedPrefilled += max(0, shared-cached)
}

// step runs the batch once, and again while there is work.
func (s *server) step() {
	if s.stepping || s.dead {
		return
	}
	s.admit()
	if len(s.running) == 0 {
		return
	}
	s.stepping = true
	s.clock.after(s.advancePrefill(), func() {
		s.stepping = false
		if !s.dead {
			s.finishStep()
			s.step()
		}
	})
}

// advancePrefill reads a piece of the prompts and tells how long the step takes.
func (s *server) advancePrefill() time.Duration {
	engine := s.engine
	chunk, pace := engine.PrefillChunk, 1.0
	if s.Role == catalog.Decode {
		chunk, pace = chunk/decodeChunkDivisor, decodePrefillFactor
	}
	prefilled, decoding, pairs := 0, 0, 0.0
	for _, j := range s.byUrgency() {
		tokens := min(j.uncached, chunk-prefilled)
		before := j.request.PromptTokens - j.uncached
		pairs += float64(tokens)*float64(before) + float64(tokens)*float64(tokens)/2
		j.started = j.started || tokens > 0
		j.uncached -= tokens
		prefilled += tokens
		if j.role != scheduler.Prefill {
			decoding++
		}
	}
	const million = 1e6
	ms := (float64(prefilled)/engine.PrefillTokensPerMs + pairs/million*engine.MsPerMillionPairs) * pace
	if decoding > 0 {
		ms += engine.StepMs + engine.StepSlotMs*float64(decoding)
	}
	return milliseconds(ms / s.speed)
}

// byUrgency returns the running jobs in the order in which their prompts are read: those begun first.
func (s *server) byUrgency() []*job {
	order := slices.Clone(s.running)
	slices.SortStableFunc(order, func(a, b *job) int {
		if a.started != b.started {
			if a.started {
				return -1
			}
			return 1
		}
		return a.urgency - b.urgency
	})
	return order
}

// finishStep makes a token of each request that is read.
func (s *server) finishStep() {
	for at := 0; at < len(s.running); {
		j := s.running[at]
		if !j.abandoned && (j.uncached > 0 || s.emitToken(j)) {
			at++
			continue
		}
		s.cache.pin(-j.pinned)
		s.running = slices.Delete(s.running, at, at+1)
	}
}

// emitToken makes one token, or ends a read, and tells whether the job goes on.
func (s *server) emitToken(j *job) bool {
	if j.onFirstToken != nil {
		if j.role != scheduler.Decode {
			s.cache.insert(j.request.Segments)
		}
		j.onFirstToken()
		j.onFirstToken = nil
	}
	j.outputLeft--
	if j.role == scheduler.Prefill || j.outputLeft > 0 {
		return j.role != scheduler.Prefill
	}
	j.onLastToken()
	return false
}

// crash ends the server and all that it was doing.
func (s *server) crash() {
	s.dead = true
	for _, fail := range s.onCrash {
		fail()
	}
	s.onCrash = nil
}
