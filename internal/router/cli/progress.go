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

// eraseLine is the terminal sequence that erases the line and moves to its start.
const eraseLine = "\r\x1b[K"

// defaultWidth is the width of a terminal that does not report its own.
const defaultWidth = 80

// progressLine shows the progress of a trial on one line of a terminal.
type progressLine struct {
	out   *os.File // nil if the output is not a terminal
	total time.Duration
}

func newProgressLine(out io.Writer, total time.Duration) *progressLine {
	file, ok := out.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return &progressLine{}
	}
	line := &progressLine{out: file, total: total}
	line.replace("starting processes and servers ...")
	return line
}

// show replaces the line, cut to the width of the terminal.
func (l *progressLine) show(progress routertrial.Progress) {
	if l.out == nil {
		return
	}
	text := fmt.Sprintf("%.0f of %.0f s  asked %d  in time %d  late %d  rejected %d  failed %d  %s",
		progress.Elapsed.Seconds(), l.total.Seconds(), progress.Total.Asked, progress.Total.InTime,
		progress.Total.Late, progress.Total.Rejected, progress.Total.Failed, progress.LastEvent)
	l.replace(fmt.Sprintf("%.*s", l.width()-1, text))
}

func (l *progressLine) width() int {
	size, err := unix.IoctlGetWinsize(int(l.out.Fd()), unix.TIOCGWINSZ)
	if err != nil || size.Col == 0 {
		return defaultWidth
	}
	return int(size.Col)
}

// clear erases the line.
func (l *progressLine) clear() {
	if l.out != nil {
		l.replace("")
	}
}

func (l *progressLine) replace(text string) {
	_, _ = io.WriteString(l.out, eraseLine+text) // progress is optional, so a failed write is ignored
}
