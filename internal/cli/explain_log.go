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

// logWindow is the time around a request within which other attempts at its
// upstreams, and what the instance learned, are looked at. It is as long as usual
// deadlines, so that attempts that hung then have ended.
const logWindow = 5 * time.Second

func explainLogCommand() *command {
	var id, file string
	return &command{
		name:        "explain log",
		description: "Print why a request got its answer, from the logs of the instances",
		examples:    []string{"knapweedreel explain log 9f86d081884c7d65 < all.log", "knapweedreel explain log 9f86d081884c7d65 --file all.log"},
		define: func(sc *flaggy.Subcommand) {
			file = "-"
			sc.AddPositionalValue(&id, "ID", 1, true, "Value of the header with the request's identity")
			sc.String(&file, "", "file", "File with the log lines of all instances, - for the standard input")
		},
		run: func(_ context.Context, s *session) error {
			input, err := openInput(file)
			if err != nil {
				return exitWith(ExitUsage, "read log: %v", err)
			}
			defer input.Close()
			lines, err := readLog(input)
			if err != nil {
				return exitWith(ExitUsage, "read log: %v", err)
			}
			found := explainFromLog(lines, id)
			if len(found) == 0 {
				return exitWith(ExitFailed, "no line of request %s; lines of served requests are sampled under load", id)
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
	request  *admin.RequestExplanation // of a line that tells of a request
}

// readLog reads log lines. What comes before the time of a line, such as the
// name of a machine, and lines of other programs are left out.
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
		return l, errors.Wrap(err, "read line")
	}
	var err error
	if l.time, err = time.Parse(time.RFC3339Nano, l.fields["ts"]); err != nil {
		return l, errors.Wrap(err, "time of the line")
	}
	l.event, l.instance = l.fields["event"], l.fields["instance"]
	if l.event == "request" || l.event == "request_failed" {
		l.request, err = requestOf(&l)
	}
	return l, err
}

// requestOf returns the record that the line of a request was written from, as
// far as the line tells it.
func requestOf(l *logLine) (*admin.RequestExplanation, error) {
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
	queued, err := seconds(f["queued"])
	if err != nil {
		return nil, errors.Wrap(err, "queued")
	}
	total, err := seconds(f["total"])
	if err != nil {
		return nil, errors.Wrap(err, "total")
	}
	return &admin.RequestExplanation{
		RequestID: f["request_id"], Instance: l.instance, Time: l.time.Add(-total), Service: f["service"], Revision: revision,
		Route: f["route"], Caller: f["caller"], Status: status, Kind: f["kind"], Run: f["run"],
		Queued: queued, Total: total, Attempts: attempts,
	}, nil
}

func seconds(s string) (time.Duration, error) {
	n, err := strconv.ParseFloat(s, 64)
	return time.Duration(n * float64(time.Second)), err
}

// loggedRequest is a request with what the logs tell of its circumstances.
type loggedRequest struct {
	Request   admin.RequestExplanation `json:"request"`
	Upstreams []upstreamAround         `json:"upstreams"`
	// Learned are the lines about the instance and the request's upstreams within
	// logWindow before the request's end.
	Learned []string `json:"learned"`
}

// upstreamAround tells how other attempts at an upstream ended within logWindow.
type upstreamAround struct {
	Upstream string         `json:"upstream"`
	Here     map[string]int `json:"here"`   // by result, at the instance of the request
	Others   map[string]int `json:"others"` // at other instances
}

// explainFromLog returns what the lines tell of the requests with an identity.
func explainFromLog(lines []logLine, id string) []loggedRequest {
	var found []loggedRequest
	for i := range lines {
		if r := lines[i].request; r != nil && r.RequestID == id {
			found = append(found, circumstances(lines, &lines[i]))
		}
	}
	return found
}

func circumstances(lines []logLine, of *logLine) loggedRequest {
	out := loggedRequest{Request: *of.request}
	from, to := of.request.Time.Add(-logWindow), of.time.Add(logWindow)
	around := make(map[string]*upstreamAround)
	for _, a := range of.request.Attempts {
		if around[a.Upstream] == nil {
			around[a.Upstream] = &upstreamAround{Upstream: a.Upstream, Here: map[string]int{}, Others: map[string]int{}}
		}
	}
	for i := range lines {
		l := &lines[i]
		switch {
		case l == of || l.time.Before(from) || l.time.After(to):
		case l.request != nil:
			for _, a := range l.request.Attempts {
				u := around[a.Upstream]
				switch {
				case u == nil:
				case l.instance == of.instance:
					u.Here[a.Result]++
				default:
					u.Others[a.Result]++
				}
			}
		case l.instance == of.instance && !l.time.After(of.time) && (around[l.fields["id"]] != nil || aboutInstance(l.event)):
			out.Learned = append(out.Learned, l.describe(of.time))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(around)) {
		out.Upstreams = append(out.Upstreams, *around[id])
	}
	return out
}

// aboutInstance reports whether an event concerns all requests of an instance.
func aboutInstance(event string) bool {
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
	printAnswer(w, e.Request)
	for i, a := range e.Request.Attempts {
		fmt.Fprintf(w, "  attempt=%d upstream=%s expected_failure=%.2f known_load=%d fresh_connection=%t took=%v result=%s retry_cause=%s no_retry=%s\n",
			i+1, a.Upstream, a.Fails, a.Load, a.Fresh, a.Took, a.Result, a.RetryCause, a.Last)
	}
	for _, u := range e.Upstreams {
		fmt.Fprintf(w, "  other attempts at %s within %v: here %s; at other instances %s\n", u.Upstream, logWindow, results(u.Here), results(u.Others))
	}
	for _, l := range e.Learned {
		fmt.Fprintf(w, "  %s\n", l)
	}
}

// results describes numbers of attempts by their results.
func results(n map[string]int) string {
	if len(n) == 0 {
		return "none"
	}
	var parts []string
	for _, r := range slices.Sorted(maps.Keys(n)) {
		parts = append(parts, fmt.Sprintf("%d %s", n[r], r))
	}
	return strings.Join(parts, ", ")
}
