package cli

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

const (
	// progressBytes is the size from which the progress of reading a file is shown:
	// smaller ones are read within about a second.
	progressBytes = 4 << 20
	// progressStep is the number of entries between two updates.
	progressStep = 2000
)

// progress shows on a terminal how many entries of a file were read.
type progress struct {
	w     io.Writer // nil if nothing is shown
	file  string
	shown bool
}

func newProgress(w io.Writer, file string, size int, terminal bool) *progress {
	if size < progressBytes || !terminal {
		w = nil
	}
	return &progress{w: w, file: file}
}

// report shows the number of entries read so far.
func (p *progress) report(entries int) {
	if p.w != nil && entries%progressStep == 0 {
		fmt.Fprintf(p.w, "\r%s: %d entries read", p.file, entries)
		p.shown = true
	}
}

// end erases what was shown.
func (p *progress) end() {
	if p.shown {
		fmt.Fprint(p.w, "\r\x1b[K")
	}
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}
