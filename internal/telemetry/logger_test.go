package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Guards against stack traces in log lines, which make a line many times as long
// as the error's message.
func TestLoggerWritesOnlyErrorMessages(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.With(zap.String("instance", "i00")).Warn("list_poll_failed", zap.Error(errors.Wrap(errors.New("refused"), "GET /v1/instances")))
	line := out.String()
	if strings.Count(line, "\n") != 1 || strings.Contains(line, "stack trace") || !strings.Contains(line, `error="GET /v1/instances: refused"`) {
		t.Errorf("line is %q", line)
	}
}
