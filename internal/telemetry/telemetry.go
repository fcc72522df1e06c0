// Package telemetry provides the logger and the metrics of an instance.
//
// The logger writes each event as one line of key=value pairs. Metrics are tally
// scopes, exposed in the Prometheus text format.
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

// Sampling: in each second the first sampleFirst lines of an event are written,
// and then one in sampleThereafter. Failures are events of their own and so are
// not sampled together with successes.
const (
	sampleFirst      = 300
	sampleThereafter = 20
)

// flushTimeout bounds the writing of a process's last lines.
const flushTimeout = 200 * time.Millisecond

// NewServiceLogger returns a logger for a process whose log is collected from w.
// Its volume is bounded and it never blocks. It calls onSampledOut for each line
// that sampling drops. After a line did not fit in the buffer, the next line
// contains the total number of such lines. stop writes the remaining lines;
// later ones are lost.
func NewServiceLogger(w io.Writer, level string, onSampledOut func()) (log *zap.Logger, stop func(), err error) {
	out := NewAsyncWriter(w)
	log, err = NewLogger(out, level)
	if err != nil {
		out.Close(0)
		return nil, nil, err
	}
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			onSampledOut()
		}
	})
	log = log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(&dropReporter{Core: c, out: out}, time.Second, sampleFirst, sampleThereafter, hook)
	}))
	return log, func() { out.Close(flushTimeout) }, nil
}

// dropReporter adds the total number of dropped lines to the first line after a
// drop.
type dropReporter struct {
	zapcore.Core
	out      *AsyncWriter
	reported atomic.Int64
}

// With adds fields to the logger's context.
func (c *dropReporter) With(fields []zapcore.Field) zapcore.Core {
	return &dropReporter{Core: c.Core.With(fields), out: c.out}
}

// Check adds the core to the entry when its level is enabled.
func (c *dropReporter) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes one line.
func (c *dropReporter) Write(e zapcore.Entry, fields []zapcore.Field) error {
	total := c.out.Dropped()
	if old := c.reported.Swap(total); total > old {
		fields = append(slices.Clone(fields), zap.Int64("lines_dropped", total))
	}
	return c.Core.Write(e, fields)
}

// plainErrors logs only the message of an error. The stack trace that many
// errors have would make a line many times as long.
type plainErrors struct{ zapcore.Core }

// With adds fields to the logger's context.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plainErrorFields(fields))}
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
	return c.Core.Write(e, plainErrorFields(fields))
}

func plainErrorFields(fields []zapcore.Field) []zapcore.Field {
	out := slices.Clone(fields)
	for i, f := range out {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}

// Metrics is a tally scope and the HTTP handler that exposes it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names begin with "knapweedreel_". If a metric
// cannot be registered, onRegisterError is called and the metric counts nothing:
// a clash of names between two scopes must not stop the process. The handler
// exposes the metrics of the whole process, so a second instance in one process,
// as in tests, has no metrics of its own.
func NewMetrics(onRegisterError func(error)) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: onRegisterError})
	scope, closer := tally.NewRootScopeWithDefaultInterval(tally.ScopeOptions{
		Prefix:         "knapweedreel",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus rejects names with dots and dashes, which tally's own
		// metrics have.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	})
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
