// Package telemetry gives an instance its logger and its metrics.
//
// The logger writes one line of key=value pairs for each event. Metrics are
// tally scopes, exposed in the Prometheus text format.
package telemetry

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

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

// Sampling of lines of one event in one second: the first ones are written, and
// then one of several. Failures are events of their own.
const (
	sampleFirst      = 300
	sampleThereafter = 20
)

// flushLimit is the time for the last lines of a process.
const flushLimit = 200 * time.Millisecond

// NewServiceLogger returns a logger for a process whose log is collected from w.
// Its volume is bounded and it never blocks. dropped is called for each line
// that sampling leaves out; lines that find no room are reported by the lines
// after them. end writes what is left; nothing is written after it.
func NewServiceLogger(w io.Writer, level string, dropped func()) (log *zap.Logger, end func(), err error) {
	out := NewAsyncWriter(w)
	log, err = NewLogger(out, level)
	if err != nil {
		out.Close(0)
		return nil, nil, err
	}
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			dropped()
		}
	})
	log = log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(&lossReporter{Core: c, out: out}, time.Second, sampleFirst, sampleThereafter, hook)
	}))
	return log, func() { out.Close(flushLimit) }, nil
}

// lossReporter adds to the next line the number of lines that found no room
// before it.
type lossReporter struct {
	zapcore.Core
	out      *AsyncWriter
	reported atomic.Int64
}

// With adds fields to the logger's context.
func (c *lossReporter) With(fields []zapcore.Field) zapcore.Core {
	return &lossReporter{Core: c.Core.With(fields), out: c.out}
}

// Check adds the core to the entry when its level is enabled.
func (c *lossReporter) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes one line.
func (c *lossReporter) Write(e zapcore.Entry, fields []zapcore.Field) error {
	total := c.out.Dropped()
	if old := c.reported.Swap(total); total > old {
		fields = append(slices.Clone(fields), zap.Int64("lines_dropped", total))
	}
	return c.Core.Write(e, fields)
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
