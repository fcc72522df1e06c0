package admin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// lastPrefix marks the reason why no further attempt followed.
const lastPrefix = "last:"

// Kinds of connections in the description of an attempt.
const (
	connFresh = "fresh"
	connKept  = "kept"
)

// FormatAttempts formats the attempts of a request as one field of its log line.
// For each attempt it lists the upstream, the estimated failure probability, the
// load, whether the connection was fresh, the result, the duration, the cause of
// the retry, and why no further attempt followed.
func FormatAttempts(attempts []Attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		conn := connKept
		if a.Fresh {
			conn = connFresh
		}
		fmt.Fprintf(&b, "%s,fails=%.2f,load=%d,%s,%s,%dms", a.Upstream, a.Fails, a.Load, conn, a.Result, a.Took.Milliseconds())
		if a.RetryCause != "" {
			b.WriteString("," + a.RetryCause)
		}
		if a.Last != "" {
			b.WriteString("," + lastPrefix + a.Last)
		}
	}
	return b.String()
}

// ParseAttempts parses the output of FormatAttempts, which does not include the
// fields Home and BytesSent.
func ParseAttempts(s string) ([]Attempt, error) {
	var attempts []Attempt
	for _, text := range strings.Fields(s) {
		a, err := parseAttempt(strings.Split(text, ","))
		if err != nil {
			return nil, errors.Wrapf(err, "attempt %q", text)
		}
		attempts = append(attempts, a)
	}
	return attempts, nil
}

func parseAttempt(parts []string) (Attempt, error) {
	if len(parts) < 6 {
		return Attempt{}, errors.Newf("has %d parts, want at least 6", len(parts))
	}
	a := Attempt{Upstream: parts[0], Fresh: parts[3] == connFresh, Result: parts[4]}
	var err error
	if a.Fails, err = strconv.ParseFloat(strings.TrimPrefix(parts[1], "fails="), 64); err != nil {
		return Attempt{}, errors.Wrap(err, "failure probability")
	}
	if a.Load, err = strconv.Atoi(strings.TrimPrefix(parts[2], "load=")); err != nil {
		return Attempt{}, errors.Wrap(err, "load")
	}
	if a.Took, err = time.ParseDuration(parts[5]); err != nil {
		return Attempt{}, errors.Wrap(err, "time")
	}
	for _, p := range parts[6:] {
		if last, ok := strings.CutPrefix(p, lastPrefix); ok {
			a.Last = last
		} else {
			a.RetryCause = p
		}
	}
	return a, nil
}
