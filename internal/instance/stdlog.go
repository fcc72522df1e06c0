package instance

import (
	"bytes"
	"log"

	"go.uber.org/zap"
)

// maxLibraryLine bounds a line that a library writes to the standard logger.
// net/http writes the bytes that arrive on an idle connection, which may be the
// answer to somebody's request.
const maxLibraryLine = 100

// libraryLog passes lines of the standard logger on as key=value lines.
type libraryLog struct{ log *zap.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	l.log.Warn("library", zap.ByteString("text", text[:min(len(text), maxLibraryLine)]), zap.Int("bytes", len(text)))
	return len(line), nil
}

// redirectStandardLog sends what libraries such as quic-go and net/http write
// to the standard logger to l, until restore is called.
func redirectStandardLog(l *zap.Logger) (restore func()) {
	flags, writer := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
	return func() {
		log.SetFlags(flags)
		log.SetOutput(writer)
	}
}
