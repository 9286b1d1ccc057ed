//go:build !router_only

package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"golang.org/x/sys/unix"

	"cresshub/internal/testbed/routertrial"
)

// eraseLine moves to the start of a terminal's line and empties it.
const eraseLine = "\r\x1b[K"

// defaultWidth is the width of a terminal that does not tell its own.
const defaultWidth = 80

// progressLine is a line on a terminal that is written over while a trial goes on.
type progressLine struct {
	out   *os.File // nil where nobody would see it
	total time.Duration
}

func newProgressLine(out io.Writer, total time.Duration) *progressLine {
	file, ok := out.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return &progressLine{}
	}
	line := &progressLine{out: file, total: total}
	fmt.Fprintf(file, "%sstarting processes and servers ...", eraseLine)
	return line
}

// show writes the line anew, no longer than the terminal is wide.
func (l *progressLine) show(p routertrial.Progress) {
	if l.out == nil {
		return
	}
	text := fmt.Sprintf("%.0f of %.0f s  asked %d  in time %d  late %d  refused %d  failed %d  %s",
		p.Elapsed.Seconds(), l.total.Seconds(), p.Total.Asked, p.Total.InTime, p.Total.Late, p.Total.Refused,
		p.Total.Failed, p.Last)
	fmt.Fprintf(l.out, "%s%.*s", eraseLine, l.width()-1, text)
}

func (l *progressLine) width() int {
	size, err := unix.IoctlGetWinsize(int(l.out.Fd()), unix.TIOCGWINSZ)
	if err != nil || size.Col == 0 {
		return defaultWidth
	}
	return int(size.Col)
}

func (l *progressLine) clear() {
	if l.out != nil {
		fmt.Fprint(l.out, eraseLine)
	}
}
