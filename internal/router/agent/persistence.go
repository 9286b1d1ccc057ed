package agent

import (
	"errors"
	"io/fs"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A machine with a disk saves the records of servers, so that after a loss of all processes the first
// requests find servers before these have called again. What is saved may be old: every request names the
// incarnation that it expects, and servers that do not call again are soon marked as lost.

const (
	serversFile = "servers"
	proxiesFile = "proxies"
	promptsFile = "prompts"
	// saveInterval is the least time between two savings.
	saveInterval = time.Second
)

// persistState takes in what was saved before the process started, closes loaded, and then saves what changes
// until done closes. It runs beside everything else, because the disk may hang.
func (a *Agent) persistState(loaded chan<- struct{}, done <-chan struct{}) {
	if a.loadServers() {
		a.state.setSynced()
	}
	a.loadProxies()
	close(loaded)
	a.saveChanges(done)
}

// loadServers takes in which servers were live, and tells whether there were any.
func (a *Agent) loadServers() bool {
	records, err := a.saved().readRecords(serversFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			a.log.Warn().Err(err).Msg("servers: not loaded")
		}
		return false
	}
	a.state.merge(a.now(), records)
	a.loadPrefixIndex()
	a.log.Info().Int("servers", len(records)).Msg("servers: loaded")
	return len(records) > 0
}

// loadProxies takes in which proxies were known before the process started.
func (a *Agent) loadProxies() {
	records, err := a.saved().readRecords(proxiesFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			a.log.Warn().Err(err).Msg("proxies: not loaded")
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

// saveProxies saves the addresses of the proxies that were live lately, where they have changed.
func (a *Agent) saveProxies() {
	a.recordLiveProxies()
	if !a.knownProxies.takeChanged() {
		return
	}
	var records []directory.Record
	for _, address := range a.knownProxies.addresses() {
		records = append(records, directory.Record{Kind: directory.KindProxy, Address: address})
	}
	if err := a.saved().writeRecords(proxiesFile, records); err != nil {
		a.knownProxies.setChanged()
		a.log.Debug().Err(err).Msg("proxies: not saved; tried again")
	}
}

// recordLiveProxies remembers the proxies that are live now.
func (a *Agent) recordLiveProxies() {
	var live []string
	a.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			live = append(live, proxy.Address)
		}
	})
	a.knownProxies.record(a.now(), live)
}

// saveChanges saves the records of live servers whenever they change, until done closes.
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
		table := a.state.Servers()
		if table == saved {
			continue
		}
		var records []directory.Record
		a.state.read(func(d *directory.Directory) { records = copyRecords(d.LiveServers()) })
		if err := a.saved().writeRecords(serversFile, records); err != nil {
			a.log.Debug().Err(err).Msg("servers: not saved; tried again")
			continue
		}
		saved = table
	}
}

// loadPrefixIndex takes in what was known of which servers hold what.
func (a *Agent) loadPrefixIndex() {
	body, err := a.saved().read(promptsFile)
	var work peerproto.LoadReport
	if err != nil || a.proxy == nil || peerproto.Decode(body, &work) != nil {
		return
	}
	a.proxy.SyncPrefixes(decodePrefixes(work.Prefixes))
}

// savePrefixIndex saves what is known of which servers hold what, where that has changed.
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
