package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/standin/caller"
)

// callerFlags holds the flags that are not fields of caller.Config.
type callerFlags struct {
	entries   string
	upstreams string
	output    string
	record    string
}

func callerCommand() command {
	flags := callerFlags{output: "text"}
	cfg := caller.Config{Region: "south", Account: "caller", Accounts: 1, Method: http.MethodGet, Path: "/", Count: 1,
		Concurrency: 1, Duration: 10 * time.Second, Timeout: 30 * time.Second}
	sc := flaggy.NewSubcommand("caller")
	sc.Description = "Locate a service, send requests to its addresses and check every response"
	sc.AdditionalHelpAppend = "\n  Examples:\n    standin caller --entry 127.0.0.1:7101 --service entries --host entries.example --method POST --path /entries --body-bytes 300 --count 20" +
		"\n    standin caller --entry 127.0.0.1:7101 --service entries --host entries.example --rate 200 --duration 10s --output json"
	sc.String(&flags.entries, "", "entry", "IP:port of the entry addresses to locate the service at, separated by commas")
	sc.String(&cfg.Service, "", "service", "Service to send to")
	sc.String(&cfg.Host, "", "host", "Host header; default: the service's name")
	sc.String(&cfg.Region, "", "region", "Region of the callers")
	sc.String(&cfg.Account, "", "account", "Prefix of the caller accounts")
	sc.Int(&cfg.Accounts, "", "accounts", "Number of caller accounts, which are used in turn")
	sc.String(&cfg.Method, "", "method", "HTTP method")
	sc.String(&cfg.Path, "", "path", "Path of the requests")
	sc.Int64(&cfg.BodyBytes, "", "body-bytes", "Size of each request's body, which is streamed")
	sc.Int(&cfg.Count, "", "count", "Without --rate: number of requests to send")
	sc.Int(&cfg.Concurrency, "", "concurrency", "Without --rate: number of requests in flight at a time")
	sc.Float64(&cfg.Rate, "", "rate", "Requests per second; they start at fixed times, even while others are in flight")
	sc.Duration(&cfg.Duration, "", "duration", "With --rate: how long to send requests")
	sc.Duration(&cfg.Timeout, "", "timeout", "Time limit of one request")
	sc.Duration(&cfg.Deadline, "", "deadline", "Deadline sent with each request; 0 for none")
	sc.String(&flags.upstreams, "", "check-runs", "IP:port of all stand-in upstreams of the service, separated by commas; compares the requests that they ran with the responses")
	sc.Bool(&cfg.AtMostOnce, "", "once", "With --check-runs: fail if a request ran twice")
	sc.String(&flags.record, "", "record", "File to write each result to, as one line of JSON")
	sc.String(&flags.output, "", "output", "Format of the summary: text or json")
	return command{sub: sc, run: func(ctx context.Context) error { return runCaller(ctx, cfg, flags) }}
}

func runCaller(ctx context.Context, cfg caller.Config, flags callerFlags) error {
	cfg.EntryAddresses = splitList(flags.entries)
	cfg.CheckRunsAt = splitList(flags.upstreams)
	if cfg.Host == "" {
		cfg.Host = cfg.Service
	}
	if len(cfg.EntryAddresses) == 0 || cfg.Service == "" {
		return errors.New("--entry and --service are required")
	}
	if flags.record != "" {
		f, err := os.Create(flags.record)
		if err != nil {
			return errors.Wrap(err, "record")
		}
		defer f.Close()
		e := json.NewEncoder(f)
		cfg.OnResult = func(r caller.Result) { _ = e.Encode(r) } // the summary does not depend on the record
	}
	s, err := caller.New(cfg).Run(ctx)
	if err != nil {
		return err
	}
	if err := printSummary(os.Stdout, &s, flags.output); err != nil {
		return err
	}
	if s.Failed() {
		return errors.Newf("service %s: %d of %d requests got a correct response", s.Service, s.Outcomes[caller.OK], s.Sent)
	}
	return nil
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

func printSummary(w io.Writer, s *caller.Summary, output string) error {
	if output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	fmt.Fprintf(w, "service=%s region=%s sent=%d skipped=%d seconds=%.3f goodput=%.1f/s\n", s.Service, s.Region, s.Sent, s.Skipped, s.Seconds, s.Goodput)
	fmt.Fprintf(w, "  outcomes: %s\n", formatCounts(s.Outcomes))
	fmt.Fprintf(w, "  upstreams: %s\n", formatCounts(s.Upstreams))
	fmt.Fprintf(w, "  instances: %s failovers=%d\n", formatCounts(s.Instances), s.Failovers)
	fmt.Fprintf(w, "  latency ms: p50=%.2f p90=%.2f p99=%.2f max=%.2f\n", s.LatencyMS.P50, s.LatencyMS.P90, s.LatencyMS.P99, s.LatencyMS.Max)
	fmt.Fprintf(w, "  last request: %s\n", s.LastID)
	if s.Runs != nil {
		fmt.Fprintf(w, "  runs: requests=%d runs=%d repeated=%d\n", s.Runs.Requests, s.Runs.Runs, s.Runs.Repeated)
		for _, mistake := range s.Runs.Mistakes {
			fmt.Fprintf(w, "  run mistake: %s\n", mistake)
		}
	}
	for _, f := range s.Failures {
		fmt.Fprintf(w, "  failure: id=%s outcome=%s status=%d kind=%s instance=%s upstream=%s detail=%q\n",
			f.ID, f.Outcome, f.Status, f.Kind, f.Address, f.Upstream, f.Detail)
	}
	return nil
}

// formatCounts formats a map as key=value pairs, sorted by key.
func formatCounts[K ~string](m map[K]int) string {
	var pairs []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		pairs = append(pairs, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(pairs, " ")
}
