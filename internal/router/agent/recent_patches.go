package agent

import (
	"slices"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// The bounds of the patches that are cached for followers. One that is further behind gets the full document.
const (
	recentPatchCount = 64
	recentPatchBytes = 256 << 10
)

// recentPatches are the patches that led to the configuration in force, the oldest first. Each builds on the
// one before.
type recentPatches struct {
	patches []peerproto.Patch
	bytes   int
}

// record records that a configuration came into force in place of another one, which may be nil.
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

// since returns the patches that lead from a version to the one in force, none where they are not cached.
func (r *recentPatches) since(version int64) []peerproto.Patch {
	first := slices.IndexFunc(r.patches, func(p peerproto.Patch) bool { return p.Base == version })
	if first < 0 {
		return nil
	}
	return slices.Clone(r.patches[first:])
}
