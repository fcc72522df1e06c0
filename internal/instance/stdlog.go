package instance

import (
	"bytes"
	"log"

	"go.uber.org/zap"
)

// maxLibraryLine bounds the logged bytes of a line that a library writes to the
// standard logger. net/http logs unexpected bytes that arrive on an idle
// connection, which may be a response to a caller's request.
const maxLibraryLine = 100

// libraryLog writes lines of the standard logger to a structured log.
type libraryLog struct{ log *zap.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	l.log.Warn("library", zap.ByteString("text", text[:min(len(text), maxLibraryLine)]), zap.Int("bytes", len(text)))
	return len(line), nil
}

// redirectStandardLog redirects the standard logger, which libraries such as quic-go
// and net/http use, to l until restore is called.
func redirectStandardLog(l *zap.Logger) (restore func()) {
	flags, writer := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
	return func() {
		log.SetFlags(flags)
		log.SetOutput(writer)
	}
}
