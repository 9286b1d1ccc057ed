package agent

import (
	"slices"

	"cresshub/internal/router/agentsettings"
)

// Reload applies changed settings. Only the seeds may change while a process runs; the others are ignored.
func (a *Agent) Reload(settings *agentsettings.Settings) {
	if slices.Equal(a.seeds(), settings.Seeds) {
		return
	}
	a.seedList.Store(&settings.Seeds)
	a.log.Info().Strs("seeds", settings.Seeds).Msg("settings: seeds changed")
}

// ReloadFailed records that changed settings could not be read. Those that were in force stay.
func (a *Agent) ReloadFailed(err error) {
	a.metrics.reloadErrors.Add(1)
	a.log.Warn().Err(err).Msg("settings: reload failed; retrying")
}
