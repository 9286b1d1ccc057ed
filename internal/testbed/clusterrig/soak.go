package clusterrig

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"cresshub/internal/proxy/daemon"
)

// soakTOML bounds what the ledger retains so that it is full after a minute: from then on memory and disk
// must not grow.
const soakTOML = `[ledger]
bind = "127.0.0.1:0"
data = "{data}"
period = "1s"
keep = 60
remember = 2
ids = 20000
snapshot_entries = 1000
heartbeat = "100ms"
election = "1s"
[owner]
chores = ["export", "list"]
sink = "{sink}"
`

// SoakSample is one measurement of the members.
type SoakSample struct {
	Seconds float64 `json:"seconds"`
	Answers int64   `json:"answers"`
	Applied uint64  `json:"applied"`  // log index
	RSS     int64   `json:"rss_kb"`   // of the largest member
	Anon    int64   `json:"anon_kb"`  // of it, not backed by files
	Disk    int64   `json:"disk_kb"`  // of the largest data folder
	Entries int     `json:"exported"` // entries in the sink
}

// Soak runs members with a ledger and the singleton roles under a load, samples their memory and disk at
// intervals, and at the end checks that every answer was exported once.
func Soak(ctx context.Context, o Options, members, clients int, lasting, every time.Duration) ([]SoakSample,
	error) {
	o.Members, o.Zones, o.Sink, o.FleetTOML, o.ExtraTOML = members, 3, true, DefaultFleetTOML(), soakTOML
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.discard()
	if _, err := r.WaitOwner(ctx, time.Minute); err != nil {
		return nil, err
	}
	load := NewClients()
	stop := load.Start(ctx, r.Members, clients)
	defer stop()
	var samples []SoakSample
	started := time.Now()
	for {
		s, err := r.soakSample(load)
		if err != nil {
			return samples, err
		}
		s.Seconds = time.Since(started).Seconds()
		samples = append(samples, s)
		if time.Since(started) >= lasting {
			break
		}
		if err := sleep(ctx, min(every, lasting-time.Since(started))); err != nil {
			return samples, err
		}
	}
	stop()
	return samples, r.WaitExported(ctx, load, time.Minute)
}

// soakSample samples the members now.
func (r *Rig) soakSample(l *Clients) (s SoakSample, err error) {
	s.Answers = l.TotalAnswers()
	s.Entries = len(r.Sink.Entries())
	for _, m := range r.Members {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.ID()))
		if err != nil {
			return s, err
		}
		s.RSS = max(s.RSS, statusField(string(text), "VmRSS:"))
		s.Anon = max(s.Anon, statusField(string(text), "RssAnon:"))
		bytes, err := folderSize(m.Data)
		if err != nil {
			return s, err
		}
		s.Disk = max(s.Disk, bytes>>10)
		var p daemon.LedgerPage
		if err := m.GetJSON("/_ledger?period=1&tenant=-", &p); err == nil {
			s.Applied = max(s.Applied, p.Group.Applied)
		}
	}
	return s, nil
}

// folderSize returns the size of all files in a folder, in bytes.
func folderSize(folder string) (bytes int64, err error) {
	err = filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			bytes += info.Size()
		}
		return err
	})
	return bytes, err
}

// statusField returns a number of /proc/PID/status, 0 if it isn't there.
func statusField(text, name string) (kb int64) {
	_, rest, _ := strings.Cut(text, name)
	_, _ = fmt.Sscan(rest, &kb) // of a field that isn't there
	return kb
}

// PrintSoak writes samples as a table.
func PrintSoak(w io.Writer, samples []SoakSample) error {
	var b strings.Builder
	b.WriteString("seconds\tanswers\tlog index\tmemory\tof it anonymous\tdisk\tentries sent\t\n")
	for _, s := range samples {
		fmt.Fprintf(&b, "%.0f\t%d\t%d\t%d kB\t%d kB\t%d kB\t%d\t\n", s.Seconds, s.Answers, s.Applied, s.RSS,
			s.Anon, s.Disk, s.Entries)
	}
	return writeTable(w, b.String(), tabwriter.AlignRight)
}
