package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/instance/admin"
)

// logWindow is the time before and after a request from which other log lines
// are taken into account. It is as long as usual deadlines, so that attempts that
// hung at the same time have ended.
const logWindow = 5 * time.Second

func explainLogCommand() *command {
	var id, file string
	return &command{
		name:        "explain log",
		description: "Explain the response to a request, from the logs of the instances",
		examples:    []string{"knapweedreel explain log 9f86d081884c7d65 < all.log", "knapweedreel explain log 9f86d081884c7d65 --file all.log"},
		addArgs: func(sc *flaggy.Subcommand) {
			file = "-"
			sc.AddPositionalValue(&id, "ID", 1, true, "Value of the request ID header")
			sc.String(&file, "", "file", "File with the log lines of all instances, - for standard input")
		},
		run: func(_ context.Context, s *session) error {
			input, err := openInput(file)
			if err != nil {
				return exitErrorf(ExitUsage, "read log: %v", err)
			}
			defer input.Close()
			lines, err := readLog(input)
			if err != nil {
				return exitErrorf(ExitUsage, "read log: %v", err)
			}
			found := explainFromLog(lines, id)
			if len(found) == 0 {
				return exitErrorf(ExitFailed, "no line of request %s; lines of successful requests are sampled under load", id)
			}
			return s.print(found, func(w io.Writer) {
				for _, e := range found {
					e.write(w)
				}
			})
		},
	}
}

// logLine is a line of an instance's log.
type logLine struct {
	time     time.Time
	event    string
	instance string
	fields   map[string]string
	request  *admin.RequestExplanation // nil unless the line records a request
}

// readLog returns the log lines, sorted by time. It ignores text before the
// timestamp, such as a host name, and lines of other programs.
func readLog(r io.Reader) ([]logLine, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var lines []logLine
	for raw := range strings.Lines(string(text)) {
		if i := strings.Index(raw, "ts="); i >= 0 {
			if l, err := parseLogLine(raw[i:]); err == nil {
				lines = append(lines, l)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines, nil
}

func parseLogLine(raw string) (logLine, error) {
	l := logLine{fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(raw))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	if err := d.Err(); err != nil {
		return l, errors.Wrap(err, "decode line")
	}
	var err error
	if l.time, err = time.Parse(time.RFC3339Nano, l.fields["ts"]); err != nil {
		return l, errors.Wrap(err, "parse timestamp")
	}
	l.event, l.instance = l.fields["event"], l.fields["instance"]
	if l.event == "request" || l.event == "request_failed" {
		l.request, err = parseRequest(&l)
	}
	return l, err
}

// parseRequest returns the part of a request's record that its log line has.
func parseRequest(l *logLine) (*admin.RequestExplanation, error) {
	f := l.fields
	attempts, err := admin.ParseAttempts(f["tries"])
	if err != nil {
		return nil, err
	}
	status, err := strconv.Atoi(f["status"])
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	revision, err := strconv.ParseUint(f["revision"], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "revision")
	}
	queued, err := parseSeconds(f["queued"])
	if err != nil {
		return nil, errors.Wrap(err, "queued")
	}
	total, err := parseSeconds(f["total"])
	if err != nil {
		return nil, errors.Wrap(err, "total")
	}
	var retryAfter time.Duration
	if text := f["retry_after"]; text != "" {
		if retryAfter, err = parseSeconds(text); err != nil {
			return nil, errors.Wrap(err, "retry_after")
		}
	}
	var limit float64
	var limitVersion uint64
	if text := f["limit_version"]; text != "" {
		if limitVersion, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, errors.Wrap(err, "limit_version")
		}
		if limit, err = strconv.ParseFloat(f["limit"], 64); err != nil {
			return nil, errors.Wrap(err, "limit")
		}
	}
	return &admin.RequestExplanation{
		RequestID: f["request_id"], Instance: l.instance, Time: l.time.Add(-total), Service: f["service"], Revision: revision,
		Route: f["route"], Caller: f["caller"], Status: status, Kind: f["kind"], Reason: f["reason"], Run: f["run"],
		Queued: queued, Total: total, Attempts: attempts, RetryAfter: retryAfter,
		Limit: limit, LimitVersion: limitVersion,
	}, nil
}

func parseSeconds(s string) (time.Duration, error) {
	n, err := strconv.ParseFloat(s, 64)
	return time.Duration(n * float64(time.Second)), err
}

// loggedRequest is a request with related information from the logs.
type loggedRequest struct {
	Request   admin.RequestExplanation `json:"request"`
	Upstreams []nearbyAttempts         `json:"upstreams"`
	// Learned are the lines that the request's instance logged about itself and
	// about the request's upstreams, from logWindow before the request to its end.
	Learned []string `json:"learned"`
}

// nearbyAttempts counts the results of other attempts at an upstream within
// logWindow of a request.
type nearbyAttempts struct {
	Upstream string         `json:"upstream"`
	Here     map[string]int `json:"here"`   // by result, at the request's instance
	Others   map[string]int `json:"others"` // by result, at other instances
}

// explainFromLog returns the requests with the given ID.
func explainFromLog(lines []logLine, id string) []loggedRequest {
	var found []loggedRequest
	for i := range lines {
		if r := lines[i].request; r != nil && r.RequestID == id {
			found = append(found, explainRequestLine(lines, &lines[i]))
		}
	}
	return found
}

func explainRequestLine(lines []logLine, line *logLine) loggedRequest {
	out := loggedRequest{Request: *line.request}
	from, to := line.request.Time.Add(-logWindow), line.time.Add(logWindow)
	nearby := make(map[string]*nearbyAttempts)
	for _, a := range line.request.Attempts {
		if nearby[a.Upstream] == nil {
			nearby[a.Upstream] = &nearbyAttempts{Upstream: a.Upstream, Here: map[string]int{}, Others: map[string]int{}}
		}
	}
	for i := range lines {
		l := &lines[i]
		switch {
		case l == line || l.time.Before(from) || l.time.After(to):
		case l.request != nil:
			for _, a := range l.request.Attempts {
				counts := nearby[a.Upstream]
				switch {
				case counts == nil:
				case l.instance == line.instance:
					counts.Here[a.Result]++
				default:
					counts.Others[a.Result]++
				}
			}
		case l.instance == line.instance && !l.time.After(line.time) && (nearby[l.fields["id"]] != nil || isInstanceEvent(l.event)):
			out.Learned = append(out.Learned, l.describe(line.time))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(nearby)) {
		out.Upstreams = append(out.Upstreams, *nearby[id])
	}
	return out
}

// isInstanceEvent reports whether an event affects all requests of an instance.
func isInstanceEvent(event string) bool {
	return !strings.HasPrefix(event, "upstream_") && event != "member_joined" && event != "member_left"
}

func (l *logLine) describe(end time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v before its end: %s", end.Sub(l.time).Round(time.Millisecond), l.event)
	for _, key := range slices.Sorted(maps.Keys(l.fields)) {
		switch v := l.fields[key]; {
		case key == "ts", key == "level", key == "event", key == "instance", v == "":
		default:
			fmt.Fprintf(&b, " %s=%s", key, v)
		}
	}
	return b.String()
}

func (e *loggedRequest) write(w io.Writer) {
	printRequestSummary(w, e.Request)
	for i, a := range e.Request.Attempts {
		fmt.Fprintf(w, "  attempt=%d upstream=%s expected_failure=%.2f known_load=%d fresh_connection=%t took=%v result=%s retry_cause=%s no_retry=%s\n",
			i+1, a.Upstream, a.Fails, a.Load, a.Fresh, a.Took, a.Result, a.RetryCause, a.Last)
	}
	for _, u := range e.Upstreams {
		fmt.Fprintf(w, "  other attempts at %s within %v: here %s; at other instances %s\n", u.Upstream, logWindow, formatResults(u.Here), formatResults(u.Others))
	}
	for _, l := range e.Learned {
		fmt.Fprintf(w, "  %s\n", l)
	}
}

// formatResults formats the number of attempts for each result.
func formatResults(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, r := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[r], r))
	}
	return strings.Join(parts, ", ")
}
