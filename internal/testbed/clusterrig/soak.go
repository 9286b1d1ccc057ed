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

// soakTOML bound what the ledger keeps so that it is full after a minute: from then on memory and disk are to
// stay as they are.
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

// SoakSample is one look at the members.
type SoakSample struct {
	Seconds float64 `json:"seconds"`
	Answers int64   `json:"answers"`
	Applied uint64  `json:"applied"`  // log index
	RSS     int64   `json:"rss_kb"`   // of the largest member
	Anon    int64   `json:"anon_kb"`  // of it, what is no file
	Disk    int64   `json:"disk_kb"`  // of the largest data folder
	Entries int     `json:"exported"` // entries in the sink
}

// Soak runs members with a ledger and chores under a load for a while and looks at their memory and disk.
func Soak(ctx context.Context, o Options, members, clients int, lasting, every time.Duration) ([]SoakSample,
	error) {
	o.Members, o.Zones, o.Sink, o.FleetTOML, o.ExtraTOML = members, 3, true, TestFleetTOML, soakTOML
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if _, _, err := r.WaitOwner(ctx, time.Minute); err != nil {
		return nil, err
	}
	c, stop := context.WithCancel(ctx)
	l := NewClients()
	done := make(chan struct{})
	go func() { defer close(done); l.Run(c, r.Members, clients) }()
	defer func() { stop(); <-done }()
	var out []SoakSample
	begun := time.Now()
	for {
		s, err := r.soakSample(l)
		if err != nil {
			return out, err
		}
		s.Seconds = time.Since(begun).Seconds()
		out = append(out, s)
		if time.Since(begun) >= lasting {
			break
		}
		select {
		case <-time.After(min(every, lasting-time.Since(begun))):
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
	stop()
	<-done
	return out, r.WaitExported(ctx, l, time.Minute)
}

func (r *Rig) soakSample(l *Clients) (s SoakSample, err error) {
	_, s.Answers = l.Answers()
	s.Entries = len(r.Sink.Entries())
	for _, m := range r.Members {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.ID()))
		if err != nil {
			return s, err
		}
		s.RSS = max(s.RSS, statusField(string(text), "VmRSS:"))
		s.Anon = max(s.Anon, statusField(string(text), "RssAnon:"))
		var bytes int64
		err = filepath.WalkDir(m.Data, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			info, err := d.Info()
			if err == nil {
				bytes += info.Size()
			}
			return err
		})
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

// statusField is a number of /proc's status.
func statusField(text, name string) (kb int64) {
	_, rest, _ := strings.Cut(text, name)
	fmt.Sscan(rest, &kb)
	return kb
}

// PrintSoak writes the samples as a table.
func PrintSoak(w io.Writer, all []SoakSample) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seconds\tanswers\tlog index\tmemory\tof it anonymous\tdisk\tentries sent\t")
	for _, s := range all {
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d kB\t%d kB\t%d kB\t%d\t\n", s.Seconds, s.Answers, s.Applied, s.RSS,
			s.Anon, s.Disk, s.Entries)
	}
	return t.Flush()
}
