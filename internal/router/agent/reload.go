package agent

import (
	"slices"

	"cresshub/internal/router/agentsettings"
)

// Reload applies changed settings. Only the seeds may change while a process runs; changes of other settings
// are ignored.
func (a *Agent) Reload(settings *agentsettings.Settings) {
	if slices.Equal(a.seeds(), settings.Seeds) {
		return
	}
	a.seedList.Store(&settings.Seeds)
	a.log.Info().Strs("seeds", settings.Seeds).Msg("settings: seeds changed")
}

// ReloadFailed records that changed settings could not be read. The present settings stay in force.
func (a *Agent) ReloadFailed(err error) {
	a.metrics.reloadErrors.Add(1)
	a.log.Warn().Err(err).Msg("settings: reload failed; retrying")
}
