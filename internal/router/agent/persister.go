package agent

import (
	"errors"
	"io/fs"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// prefixOrderSaveInterval is how often the prefix index is saved where only the order of use, or which
	// prefixes they are, has changed, but not their number.
	prefixOrderSaveInterval = 10 * time.Second
)

// persister loads the saved state at the start and saves its changes. Its methods belong to the goroutine of
// run, which is a goroutine of its own because the disk may hang; run is started only on a machine with a
// disk. What it reads and writes in memory (the state, the known proxies, the prefix index) is safe for
// concurrent use, so it has no lock.
type persister struct {
	*process
	state         *state
	knownProxies  *knownProxies
	workload      Workload // has the prefix index
	savedPrefixes savedPrefixIndex
}

// savedPrefixIndex describes the prefix index that was last saved.
type savedPrefixIndex struct {
	count    int
	checksum uint64
	at       time.Duration
}

func (p *persister) saved() savedFiles { return savedFiles{p.files, p.settings.DataDir} }

// run loads the saved state, closes loaded, and then saves changes until done closes.
func (p *persister) run(loaded chan<- struct{}, done <-chan struct{}) {
	if p.loadServers() {
		p.state.setSynced()
	}
	p.loadProxies()
	close(loaded)
	p.saveChanges(done)
}

// loadServers loads the servers that were live, with the prefix index, and reports whether there were any.
func (p *persister) loadServers() bool {
	records, err := p.saved().readRecords(serversFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			p.log.Warn().Err(err).Msg("servers: loading failed")
		}
		return false
	}
	p.state.merge(p.now(), records)
	p.loadPrefixIndex()
	p.log.Info().Int("servers", len(records)).Msg("servers: loaded")
	return len(records) > 0
}

// loadProxies loads the addresses of the proxies that were known to the previous process of this machine.
func (p *persister) loadProxies() {
	records, err := p.saved().readRecords(proxiesFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			p.log.Warn().Err(err).Msg("proxies: loading failed")
		}
		return
	}
	var addresses []string
	for _, record := range records {
		addresses = append(addresses, record.Address)
	}
	p.knownProxies.record(p.now(), addresses)
	p.state.raiseProxyCount(p.now(), len(addresses))
	p.log.Info().Int("proxies", len(addresses)).Msg("proxies: loaded")
}

// saveProxies saves the addresses of known proxies, where they have changed.
func (p *persister) saveProxies() {
	p.recordLiveProxies()
	if !p.knownProxies.takeChanged() {
		return
	}
	var records []directory.Record
	for _, address := range p.knownProxies.addresses() {
		records = append(records, directory.Record{Kind: directory.KindProxy, Address: address})
	}
	if err := p.saved().writeRecords(proxiesFile, records); err != nil {
		p.knownProxies.markChanged()
		p.log.Debug().Err(err).Msg("proxies: saving failed; retrying")
	}
}

// recordLiveProxies adds the proxies that are live now to the known ones.
func (p *persister) recordLiveProxies() {
	var live []string
	p.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			live = append(live, proxy.Address)
		}
	})
	p.knownProxies.record(p.now(), live)
}

// saveChanges saves the state once in each saveInterval, where it has changed, until done closes.
func (p *persister) saveChanges(done <-chan struct{}) {
	saved := p.state.Servers()
	for {
		select {
		case <-done:
			return
		case <-time.After(saveInterval):
		}
		p.savePrefixIndex()
		p.saveProxies()
		if servers := p.state.Servers(); servers != saved && p.saveServers() {
			saved = servers
		}
	}
}

// saveServers saves the records of the live servers and reports whether that succeeded.
func (p *persister) saveServers() bool {
	var records []directory.Record
	p.state.read(func(d *directory.Directory) { records = copyRecords(d.LiveServers()) })
	if err := p.saved().writeRecords(serversFile, records); err != nil {
		p.log.Debug().Err(err).Msg("servers: saving failed; retrying")
		return false
	}
	return true
}

// loadPrefixIndex loads which prefixes were cached at which servers.
func (p *persister) loadPrefixIndex() {
	body, err := p.saved().read(promptsFile)
	var index peerproto.LoadReport
	if err != nil || peerproto.Decode(body, &index) != nil {
		return
	}
	p.workload.SyncPrefixes(decodePrefixes(index.Prefixes))
}

// savePrefixIndex saves which prefixes are known to be cached at which servers, where that has changed: at
// once if their number has, as while the index is not full, and else after prefixOrderSaveInterval.
func (p *persister) savePrefixIndex() {
	known := p.workload.KnownPrefixes()
	count := 0
	for _, at := range known {
		count += len(at.Hashes)
	}
	now := p.now()
	if count == p.savedPrefixes.count && now-p.savedPrefixes.at < prefixOrderSaveInterval {
		return
	}
	body := peerproto.Encode(&peerproto.LoadReport{FullIndex: true, Prefixes: encodePrefixes(known)})
	checksum := xxhash.Sum64(body)
	if checksum == p.savedPrefixes.checksum {
		return
	}
	if p.saved().write(promptsFile, body) == nil {
		p.savedPrefixes = savedPrefixIndex{count: count, checksum: checksum, at: now}
	}
}
