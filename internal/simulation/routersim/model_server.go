package routersim

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// job is a call at a server.
type job struct {
	role       scheduler.Role
	request    *scheduler.Request
	step       int  // of the load, in which the request arrived
	uncached   int  // prompt tokens still to prefill
	outputLeft int  // tokens still to decode
	urgency    int  // prefills that have not started run in this order, 0 first
	started    bool // a part of the prompt has been prefilled
	pinned     int  // tokens of the cache that are reserved for it while it runs
	abandoned  bool // its client has left

	onFirstToken func() // for a prefill, when it is done; nil once it has run
	onLastToken  func()
}

// server is a model server: it runs the jobs in its slots as a batch, step by step (continuous batching).
type server struct {
	*catalog.Server
	clock  *clock
	engine *Engine
	cache  *prefixCache
	counts *Counts

	speed          float64       // of the engine, 1 for the usual one
	transferFactor float64       // transfers take so many times as long
	linkFreeAt     time.Duration // when the transfers so far have ended

	waiting, running []*job   // in order of arrival; running ones have a slot each
	stepping         bool     // a step is under way
	dead             bool     // has crashed
	onCrash          []func() // each fails a call, unless it has ended
}

// load is what the server reports with an answer: a running request counts itself, a prefill that has ended
// does not.
func (s *server) load(role scheduler.Role) scheduler.Load {
	running := len(s.running)
	if role == scheduler.Prefill {
		running--
	}
	return scheduler.Load{Running: running, Waiting: len(s.waiting), Slots: s.engine.Slots}
}

// enqueue lets a job wait for a slot, after the time of its setup.
func (s *server) enqueue(j *job) {
	s.clock.after(milliseconds(s.engine.SetupMs), func() {
		s.waiting = append(s.waiting, j)
		s.step()
	})
}

// fetchPrefix transfers the prefix cache of a prompt from a prefill server, one transfer after the other, and
// then enqueues the job. It returns false where the transfer would have to wait for too long.
func (s *server) fetchPrefix(j *job, from *server) bool {
	ms := s.engine.transferMs(j.request.PromptTokens) * s.transferFactor
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

// step runs a step of the batch, and further ones while there is work.
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

// planPrefill sets what the job has to prefill, and counts the tokens of its shared prefix.
func (s *server) planPrefill(j *job) {
	segments := j.request.Segments
	cached := s.cache.cachedTokens(segments)
	j.uncached = j.request.PromptTokens - cached
	shared := 0
	for _, segment := range segments[:len(segments)-1] {
		shared += segment.Tokens
	}
	s.counts.addSharedPrefix(j.step, shared, max(0, shared-cached))
}

// advancePrefill prefills a chunk of the prompts and returns how long the step takes.
func (s *server) advancePrefill() time.Duration {
	chunk, factor := s.engine.PrefillChunk, 1.0
	if s.Role == catalog.Decode {
		chunk, factor = chunk/decodeChunkDivisor, decodePrefillFactor
	}
	prefilled, decoding, pairs := 0, 0, 0.0
	for _, j := range s.byUrgency() {
		tokens := min(j.uncached, chunk-prefilled)
		before := j.request.PromptTokens - j.uncached
		pairs += comparedPairs(float64(tokens), float64(before))
		j.started = j.started || tokens > 0
		j.uncached -= tokens
		prefilled += tokens
		if j.role != scheduler.Prefill {
			decoding++
		}
	}
	ms := s.engine.prefillMs(float64(prefilled), pairs) * factor
	if decoding > 0 {
		ms += s.engine.StepMs + s.engine.StepSlotMs*float64(decoding)
	}
	return milliseconds(ms / s.speed)
}

// byUrgency returns the running jobs in the order of their prefills: those that have started come first.
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

// finishStep emits a token of each job whose prefill is done, and frees the slots of jobs that end.
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

// emitToken emits a token, or ends a prefill, and reports whether the job goes on.
func (s *server) emitToken(j *job) bool {
	if j.onFirstToken != nil {
		if j.role != scheduler.Decode {
			s.cache.insert(j.request.Segments)
		}
		j.onFirstToken()
		j.onFirstToken = nil
	}
	j.outputLeft--
	switch {
	case j.role == scheduler.Prefill:
		return false
	case j.outputLeft > 0:
		return true
	}
	j.onLastToken()
	return false
}

// crash ends the server and fails its calls.
func (s *server) crash() {
	s.dead = true
	for _, fail := range s.onCrash {
		fail()
	}
	s.onCrash = nil
}
