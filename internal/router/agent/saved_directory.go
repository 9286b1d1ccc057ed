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
func (n *Node) persistState(loaded chan<- struct{}, done <-chan struct{}) {
	if n.loadServers() {
		n.state.setSynced()
	}
	n.loadProxies()
	close(loaded)
	n.saveChanges(done)
}

// loadServers takes in which servers were live, and tells whether there were any.
func (n *Node) loadServers() bool {
	records, err := n.saved().readRecords(serversFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn().Err(err).Msg("servers: not loaded")
		}
		return false
	}
	n.state.merge(n.now(), records)
	n.loadPrompts()
	n.log.Info().Int("servers", len(records)).Msg("servers: loaded")
	return len(records) > 0
}

// loadProxies takes in which proxies were known before the process started.
func (n *Node) loadProxies() {
	records, err := n.saved().readRecords(proxiesFile)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn().Err(err).Msg("proxies: not loaded")
		}
		return
	}
	var addresses []string
	for _, record := range records {
		addresses = append(addresses, record.Address)
	}
	n.knownProxies.record(n.now(), addresses)
	n.state.raiseProxyCount(n.now(), len(addresses))
	n.log.Info().Int("proxies", len(addresses)).Msg("proxies: loaded")
}

// saveProxies saves the addresses of the proxies that were live lately, where they have changed.
func (n *Node) saveProxies() {
	n.recordLiveProxies()
	if !n.knownProxies.takeChanged() {
		return
	}
	var records []directory.Record
	for _, address := range n.knownProxies.addresses() {
		records = append(records, directory.Record{Kind: directory.KindProxy, Address: address})
	}
	if err := n.saved().writeRecords(proxiesFile, records); err != nil {
		n.knownProxies.setChanged()
		n.log.Debug().Err(err).Msg("proxies: not saved; tried again")
	}
}

// recordLiveProxies remembers the proxies that are live now.
func (n *Node) recordLiveProxies() {
	var live []string
	n.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			live = append(live, proxy.Address)
		}
	})
	n.knownProxies.record(n.now(), live)
}

// saveChanges saves the records of live servers whenever they change, until done closes.
func (n *Node) saveChanges(done <-chan struct{}) {
	saved := n.state.Servers()
	for {
		select {
		case <-done:
			return
		case <-time.After(saveInterval):
		}
		n.savePrompts()
		n.saveProxies()
		table := n.state.Servers()
		if table == saved {
			continue
		}
		var records []directory.Record
		n.state.read(func(d *directory.Directory) { records = copyRecords(d.LiveServers()) })
		if err := n.saved().writeRecords(serversFile, records); err != nil {
			n.log.Debug().Err(err).Msg("servers: not saved; tried again")
			continue
		}
		saved = table
	}
}

// loadPrompts takes in what was known of which servers hold what.
func (n *Node) loadPrompts() {
	body, err := n.saved().read(promptsFile)
	var work peerproto.LoadReport
	if err != nil || n.front == nil || peerproto.Decode(body, &work) != nil {
		return
	}
	n.front.SyncPrefixes(decodePrompts(work.Prefixes))
}

// savePrompts saves what is known of which servers hold what, where that has changed.
func (n *Node) savePrompts() {
	if n.front == nil {
		return
	}
	known := n.front.KnownPrefixes()
	count := 0
	for _, at := range known {
		count += len(at.Hashes)
	}
	if count == n.savedPromptCount {
		return
	}
	body := peerproto.Encode(&peerproto.LoadReport{FullIndex: true, Prefixes: encodePrompts(known)})
	if n.saved().write(promptsFile, body) == nil {
		n.savedPromptCount = count
	}
}
