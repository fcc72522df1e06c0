// Package telemetry gives an instance its logger and its metrics.
//
// The logger writes one line of key=value pairs for each event. Metrics are
// tally scopes, exposed in the Prometheus text format.
package telemetry

import (
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes key=value lines to w. The level is
// "debug", "info", "warn" or "error".
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.MessageKey = "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(plainErrors{core}), nil
}

// plainErrors writes errors by their message. Without it an error that knows
// its stack trace takes many times the length of its line.
type plainErrors struct{ zapcore.Core }

// With adds fields to the logger's context.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check adds the core to the entry when its level is enabled.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes one line.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	out := slices.Clone(fields)
	for i, f := range out {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}

// Metrics is a tally scope with the page from which it is scraped.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names begin with "knapweedreel_". A metric
// that cannot be registered is given to failed and then counts nothing: the
// names of two scopes that clash must not end the process. The page shows the
// metrics of the whole process, so that a second instance in one process, as
// in tests, has no metrics of its own.
func NewMetrics(failed func(error)) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: failed})
	scope, closer := tally.NewRootScopeWithDefaultInterval(tally.ScopeOptions{
		Prefix:         "knapweedreel",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus refuses names with dots and dashes, which tally's own
		// metrics have.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	})
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
