package agent

import (
	"errors"
	"io/fs"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A machine with a disk persists the records of servers, the addresses of proxies and the prefix index. After
// a loss of all processes, the first requests are thus routed before the servers have sent heartbeats again.
// That the saved state may be stale is harmless: every request names the incarnation that it expects, and
// servers that send no heartbeats are soon marked lost.

const (
	serversFile     = "servers"
	proxiesFile     = "proxies"
	prefixIndexFile = "prompts"
	// saveInterval is how often files are saved whose content has changed.
	saveInterval = time.Second
	// prefixOrderSaveInterval is how often the prefix index is saved while its prefixes or their order of use
	// change, but not the number of prefixes.
	prefixOrderSaveInterval = 10 * time.Second
)

// persister loads the saved state at the start and saves its changes. Its methods run on the goroutine of
// run, which is separate because the disk may hang; run is started only on a machine with a disk. The data
// that it reads and writes in memory (the state, the known proxies, the prefix index) is safe for concurrent
// use, so the persister has no lock.
type persister struct {
	*process
	state         *state
	knownProxies  *knownProxies
	workload      Workload // holds the prefix index
	savedPrefixes savedPrefixIndex
}

// savedPrefixIndex describes the prefix index that was last saved.
type savedPrefixIndex struct {
	count    int // number of prefixes
	checksum uint64
	savedAt  time.Duration
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

// loadServers loads the servers that were live when they were saved, and the prefix index. It reports whether
// there were any such servers.
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

// loadProxies loads the addresses of the proxies that the previous process of this machine knew.
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

// saveProxies saves the addresses of the known proxies, if they have changed since they were last saved.
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

// recordLiveProxies adds the proxies that are live now to the known proxies.
func (p *persister) recordLiveProxies() {
	var live []string
	p.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			live = append(live, proxy.Address)
		}
	})
	p.knownProxies.record(p.now(), live)
}

// saveChanges saves the files whose content has changed, once in each saveInterval, until done closes.
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
	body, err := p.saved().read(prefixIndexFile)
	var index peerproto.LoadReport
	if err != nil || peerproto.Decode(body, &index) != nil {
		return
	}
	p.workload.SyncPrefixes(decodePrefixes(index.Prefixes))
}

// savePrefixIndex saves which prefixes are known to be cached at which servers, if that has changed. It saves
// at once if the number of prefixes has changed, as it does until the index is full. If only the prefixes or
// their order have changed, it saves no sooner than prefixOrderSaveInterval after the last time.
func (p *persister) savePrefixIndex() {
	known := p.workload.KnownPrefixes()
	count := 0
	for _, cached := range known {
		count += len(cached.Hashes)
	}
	now := p.now()
	if count == p.savedPrefixes.count && now-p.savedPrefixes.savedAt < prefixOrderSaveInterval {
		return
	}
	body := peerproto.Encode(&peerproto.LoadReport{FullIndex: true, Prefixes: encodePrefixes(known)})
	checksum := xxhash.Sum64(body)
	if checksum == p.savedPrefixes.checksum {
		return
	}
	if p.saved().write(prefixIndexFile, body) == nil {
		p.savedPrefixes = savedPrefixIndex{count: count, checksum: checksum, savedAt: now}
	}
}
