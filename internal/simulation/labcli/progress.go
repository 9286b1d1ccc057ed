package labcli

import (
	"io"
	"os"
	"sync"

	"github.com/mattn/go-isatty"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// progress shows how many days have ended, if w is a terminal. one counts a day, end removes the display.
func progress(w io.Writer, total int) (one, end func()) {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) || total < 2 {
		return func() {}, func() {}
	}
	lines := mpb.New(mpb.WithOutput(w), mpb.WithWidth(32))
	bar := lines.AddBar(int64(total), mpb.BarRemoveOnComplete(),
		mpb.AppendDecorators(decor.CountersNoUnit("%d of %d days"),
			decor.OnComplete(decor.AverageETA(decor.ET_STYLE_GO), "")))
	var once sync.Once
	return func() { bar.Increment() }, func() {
		once.Do(func() {
			bar.Abort(true)
			lines.Wait()
		})
	}
}
