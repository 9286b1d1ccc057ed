package agent

import (
	"errors"
	"io/fs"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A machine with a disk persists the records of servers, the addresses of proxies and the prefix index, so
// that after a loss of all processes the first requests find servers before these have called again. The
// saved state may be stale: every request names the incarnation that it expects, and servers that do not call
// again are soon marked lost.

const (
	serversFile = "servers"
	proxiesFile = "proxies"
	promptsFile = "prompts" // the prefix index
	// saveInterval is how often the files are saved whose content has changed.
	saveInterval = time.Second
)

// persistState loads the saved state, closes loaded, and then saves changes until done closes. It runs on a
// goroutine of its own, because the disk may hang.
func (a *Agent) persistState(loaded chan<- struct{}, done <-chan struct{}) {
	if a.loadServers() {
		a.state.setSynced()
	}
	a.loadProxies()
	close(loaded)
	a.saveChanges(done)
}

// loadServers loads the servers that were live, with the prefix index, and reports whether there were any.
func (a *Agent) loadServers() bool {
	records, err := a.saved().readRecords(serversFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			a.log.Warn().Err(err).Msg("servers: loading failed")
		}
		return false
	}
	a.state.merge(a.now(), records)
	a.loadPrefixIndex()
	a.log.Info().Int("servers", len(records)).Msg("servers: loaded")
	return len(records) > 0
}

// loadProxies loads the addresses of the proxies that were known to the previous process of this machine.
func (a *Agent) loadProxies() {
	records, err := a.saved().readRecords(proxiesFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			a.log.Warn().Err(err).Msg("proxies: loading failed")
		}
		return
	}
	var addresses []string
	for _, record := range records {
		addresses = append(addresses, record.Address)
	}
	a.knownProxies.record(a.now(), addresses)
	a.state.raiseProxyCount(a.now(), len(addresses))
	a.log.Info().Int("proxies", len(addresses)).Msg("proxies: loaded")
}

// saveProxies saves the addresses of known proxies, where they have changed.
func (a *Agent) saveProxies() {
	a.recordLiveProxies()
	if !a.knownProxies.resetChanged() {
		return
	}
	var records []directory.Record
	for _, address := range a.knownProxies.addresses() {
		records = append(records, directory.Record{Kind: directory.KindProxy, Address: address})
	}
	if err := a.saved().writeRecords(proxiesFile, records); err != nil {
		a.knownProxies.setChanged()
		a.log.Debug().Err(err).Msg("proxies: saving failed; retrying")
	}
}

// recordLiveProxies adds the proxies that are live now to the known ones.
func (a *Agent) recordLiveProxies() {
	var live []string
	a.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			live = append(live, proxy.Address)
		}
	})
	a.knownProxies.record(a.now(), live)
}

// saveChanges saves the state once in each saveInterval, where it has changed, until done closes.
func (a *Agent) saveChanges(done <-chan struct{}) {
	saved := a.state.Servers()
	for {
		select {
		case <-done:
			return
		case <-time.After(saveInterval):
		}
		a.savePrefixIndex()
		a.saveProxies()
		if servers := a.state.Servers(); servers != saved && a.saveServers() {
			saved = servers
		}
	}
}

// saveServers saves the records of the live servers and reports whether that succeeded.
func (a *Agent) saveServers() bool {
	var records []directory.Record
	a.state.read(func(d *directory.Directory) { records = copyRecords(d.LiveServers()) })
	if err := a.saved().writeRecords(serversFile, records); err != nil {
		a.log.Debug().Err(err).Msg("servers: saving failed; retrying")
		return false
	}
	return true
}

// loadPrefixIndex loads which prefixes were cached at which servers.
func (a *Agent) loadPrefixIndex() {
	body, err := a.saved().read(promptsFile)
	var index peerproto.LoadReport
	if err != nil || a.proxy == nil || peerproto.Decode(body, &index) != nil {
		return
	}
	a.proxy.SyncPrefixes(decodePrefixes(index.Prefixes))
}

// savePrefixIndex saves which prefixes are known to be cached at which servers, where their number has
// changed.
func (a *Agent) savePrefixIndex() {
	if a.proxy == nil {
		return
	}
	known := a.proxy.KnownPrefixes()
	count := 0
	for _, at := range known {
		count += len(at.Hashes)
	}
	if count == a.savedPrefixCount {
		return
	}
	body := peerproto.Encode(&peerproto.LoadReport{FullIndex: true, Prefixes: encodePrefixes(known)})
	if a.saved().write(promptsFile, body) == nil {
		a.savedPrefixCount = count
	}
}
