package routerstandin

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"
)

// engineState is what a model server holds: its stage, the memory of prompts for others, and the orders it
// took.
type engineState struct {
	Engine
	server *Server

	mu       sync.Mutex
	stage    string
	changing bool // an order is under way
	taken    int  // orders
	fence    uint64
	handles  map[string]heldPrompt
}

// heldPrompt is the memory of a prompt that waits to be fetched.
type heldPrompt struct {
	tokens int
	until  time.Time
}

func newEngineState(s *Server, engine *Engine) *engineState {
	return &engineState{Engine: *engine, server: s, stage: engine.Stage, handles: map[string]heldPrompt{}}
}

// readTime is how long it takes to read a prompt, at a part of the reading pace.
func (e *engineState) readTime(tokens int, pace float64) time.Duration {
	if e.ReadPace <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / (e.ReadPace * pace) * float64(time.Millisecond))
}

func (e *engineState) stageNow() (stage string, changing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage, e.changing
}

func (e *engineState) currentStage() string {
	stage, _ := e.stageNow()
	return stage
}

// hold keeps the memory of a prompt and returns its handle.
func (e *engineState) hold(tokens int) string {
	var random [6]byte
	rand.Read(random[:])
	handle := hex.EncodeToString(random[:])
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles[handle] = heldPrompt{tokens, time.Now().Add(e.HandleLife)}
	return handle
}

// release gives the memory of a handle out, once, and tells how many tokens it has.
func (e *engineState) release(handle string) (tokens int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, known := e.handles[handle]
	delete(e.handles, handle)
	if known && time.Now().After(held.until) {
		e.server.tally.count(func(t *ServerTally) { t.Handles++ })
		return 0, false
	}
	return held.tokens, known
}

// held counts the handles that have not lapsed, and their tokens.
func (e *engineState) held() (handles, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, prompt := range e.handles {
		if now.Before(prompt.until) {
			handles++
			tokens += prompt.tokens
		}
	}
	return handles, tokens
}
