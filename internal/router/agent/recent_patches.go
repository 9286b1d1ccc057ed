package agent

import (
	"slices"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// These constants bound the number and the total size of the patches that are cached for followers. A
// follower that is further behind gets the full document.
const (
	recentPatchCount = 64
	recentPatchBytes = 256 << 10
)

// recentPatches holds the newest patches that led to the configuration in force, the oldest first. Each
// applies to the version that the one before it produces.
type recentPatches struct {
	patches []peerproto.Patch
	bytes   int
}

// record adds the patch of a configuration that has come into force in place of another one, which may be
// nil. If the configuration is not a patch of that one, or its patch is too large, it clears the cache.
func (r *recentPatches) record(before, config *fleetconfig.Config) {
	patch := config.Patch()
	if before == nil || patch == nil || patch.Base != before.Version || len(patch.Body) > recentPatchBytes {
		*r = recentPatches{}
		return
	}
	r.patches = append(r.patches, peerproto.Patch{Base: patch.Base, Version: patch.Version, Body: patch.Body})
	r.bytes += len(patch.Body)
	for len(r.patches) > recentPatchCount || r.bytes > recentPatchBytes {
		r.bytes -= len(r.patches[0].Body)
		r.patches = r.patches[1:]
	}
}

// since returns the patches that lead from a version to the one in force, none if they are not cached.
func (r *recentPatches) since(version int64) []peerproto.Patch {
	first := slices.IndexFunc(r.patches, func(p peerproto.Patch) bool { return p.Base == version })
	if first < 0 {
		return nil
	}
	return slices.Clone(r.patches[first:])
}
