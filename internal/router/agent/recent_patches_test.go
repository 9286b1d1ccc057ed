package agent

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// firstDocument returns a configuration with a number of routes.
func firstDocument(routes int) []byte {
	all := make([]string, routes)
	for i := range all {
		all[i] = fmt.Sprintf(`{"name":"r%d","town":"h%d.example","street_prefix":"/","timeout_ms":%d,"depot":"s"}`,
			i, i, 1+i*7919%10007)
	}
	return []byte(`{"edition":1,"routes":[` + strings.Join(all, ",") + `],"depots_list":[{"name":"s"}]}`)
}

// adoptPatch applies a patch to the configuration that is in force at an agent.
func adoptPatch(c *qt.C, agent *Agent, body string) {
	next, err := agent.state.Config().ParseAndApply([]byte(body))
	c.Assert(err, qt.IsNil)
	agent.configSync.apply(next)
}

// TestSmallChangesAreSentAsPatches: the update that a follower gets for a small change does not grow with the
// size of the configuration, and produces the same configuration.
func TestSmallChangesAreSentAsPatches(t *testing.T) {
	c := qt.New(t)
	hub, follower := newTestAgent(t), newTestAgent(t)
	document := firstDocument(10_000)
	hub.configSync.applyDocument(document)
	follower.configSync.applyPacked(hub.configSync.updateSince(hub.state.Config(), 0))
	c.Assert(follower.state.version(), qt.Equals, int64(1))
	for version := int64(2); version < 12; version++ {
		known := follower.state.version()
		adoptPatch(c, hub, fmt.Sprintf(`{"edition":%d,"deliver":{"routes":[{"name":"r%d","town":"new%d.example",
			"street_prefix":"/","timeout_ms":5,"depot":"s"}]}}`, version, version, version))
		if version%3 == 0 {
			continue // the next update has two patches
		}
		packed := hub.configSync.updateSince(hub.state.Config(), known)
		c.Assert(len(packed) < 600, qt.IsTrue, qt.Commentf("%d bytes", len(packed)))
		follower.configSync.applyPacked(packed)
		c.Assert(follower.state.version(), qt.Equals, version)
	}
	c.Assert(string(follower.state.Config().Raw()), qt.Equals, string(hub.state.Config().Raw()))
	c.Assert(follower.state.Config().Match("new11.example", "/").Name, qt.Equals, "r11")
	follower.configSync.applyPacked(hub.configSync.updateSince(hub.state.Config(), 5)) // patches it already has
	c.Assert(follower.state.version(), qt.Equals, int64(11))
}

// TestFollowersThatAreFarBehindGetTheDocument: a follower whose version is older than the oldest cached
// patch, or is not the base of any, is sent the full document. A patch that is too large, or a full document
// in force, clears the cache.
func TestFollowersThatAreFarBehindGetTheDocument(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.configSync.applyDocument(firstDocument(3))
	for version := 2; version < 3*recentPatchCount; version++ {
		adoptPatch(c, agent, fmt.Sprintf(`{"edition":%d}`, version))
	}
	config := agent.state.Config()
	oldest := config.Version - recentPatchCount
	for version, patched := range map[int64]bool{
		0: false, 1: false, oldest - 1: false, oldest: true, config.Version - 1: true, config.Version: false} {
		got := peerproto.ArePatches(agent.configSync.updateSince(config, version))
		c.Check(got, qt.Equals, patched, qt.Commentf("%d", version))
	}
	adoptPatch(c, agent, fmt.Sprintf(`{"edition":500,"deliver":{"depots_list":[{"name":"t","note":%q}]}}`,
		strings.Repeat("x", recentPatchBytes)))
	c.Assert(peerproto.ArePatches(agent.configSync.updateSince(agent.state.Config(), config.Version)),
		qt.IsFalse)
	full, err := fleetconfig.Parse([]byte(`{"edition":501,"depots_list":[]}`))
	c.Assert(err, qt.IsNil)
	agent.configSync.apply(full)
	c.Assert(peerproto.ArePatches(agent.configSync.updateSince(full, 500)), qt.IsFalse)
}

// TestCorruptPatchesAreIgnored: truncated patches, patches of another base version and those that don't parse
// are not applied.
func TestCorruptPatchesAreIgnored(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.configSync.applyDocument(firstDocument(3))
	packed := peerproto.PackPatches(&peerproto.Patches{Patches: []peerproto.Patch{
		{Base: 1, Version: 2, Body: []byte(`{"edition":2}`)}, {Base: 2, Version: 3, Body: []byte(`{`)}}})
	for length := 1; length < len(packed); length++ {
		agent.configSync.applyPacked(packed[:length])
		c.Assert(agent.state.version(), qt.Equals, int64(1))
	}
	agent.configSync.applyPacked(peerproto.PackPatches(&peerproto.Patches{Patches: []peerproto.Patch{
		{Base: 4, Version: 5, Body: []byte(`{"edition":5}`)}}}))
	c.Assert(agent.state.version(), qt.Equals, int64(1))
	agent.configSync.applyPacked(packed)
	c.Assert(agent.state.version(), qt.Equals, int64(2))
}
