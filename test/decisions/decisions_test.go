package decisions

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	seeds     = flag.Int("decisions.seeds", 1, "traces for each shape, fault and period; 1 runs the short set")
	onlyFault = flag.String("decisions.fault", "", "run only faults whose name matches this regular expression")
	onlyRule  = flag.String("decisions.rule", "", "run only rules whose name contains this")
	parallel  = flag.Int("decisions.parallel", 4, "traces replayed concurrently")
	curve     = flag.Bool("decisions.curve", true, "print the results by sensitivity")
	explain   = flag.Bool("decisions.explain", false, "print false ejections")
)

// Limits of the detection time, from the targets in section 2 of docs/design.md.
const (
	totalMedian = time.Second
	totalP99    = 3 * time.Second
	partialMax  = 10 * time.Second
)

// rowKey identifies a row of the tables.
type rowKey struct {
	shape, fault, period, rule string
}

// job describes a trace to generate and replay.
type job struct {
	shape  Shape
	fault  Fault
	period TrafficPeriod
	seed   uint64
}

// run generates the trace of each job and replays it under each rule.
func run(t *testing.T, jobs []job, rules []Rule) map[rowKey]*Row {
	t.Helper()
	rows := make([]map[rowKey]Row, len(jobs))
	var group errgroup.Group
	group.SetLimit(*parallel)
	for i, j := range jobs {
		group.Go(func() error {
			trace := Generate(j.shape, j.fault, j.period, j.seed)
			rows[i] = map[rowKey]Row{}
			for _, r := range rules {
				result := Replay(trace, r.Build, r.Share, j.seed)
				var row Row
				row.Add(trace, result)
				rows[i][rowKey{j.shape.Name, j.fault.Name, j.period.Name, r.Name}] = row
				if *explain {
					printFalseEjections(trace, j, r, result)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	merged := map[rowKey]*Row{}
	for _, jobRows := range rows {
		for key, row := range jobRows {
			if merged[key] == nil {
				merged[key] = &Row{}
			}
			merged[key].Merge(row)
		}
	}
	return merged
}

func printFalseEjections(t *Trace, j job, r Rule, result Result) {
	if r.Name != "engine" {
		return
	}
	for _, d := range result.Decisions {
		faulty := slices.ContainsFunc(t.Faults, func(fault *FaultPeriod) bool { return fault.Upstream == d.Upstream })
		if d.To == "ejected" && !faulty {
			fmt.Printf("false: %s %s %s seed %d: %s at %s after %v: %v %s score %.1f of %.1f\n", j.shape.Name, j.fault.Name, j.period.Name, j.seed,
				t.Instances[d.Instance].Name, d.Upstream, d.Time.Sub(t.Start), d.Rule, d.Detail, d.Score, d.Threshold)
		}
	}
}

// TestDecisions guards against detection that is slower than the targets and
// against false ejections. It prints tables that compare the rules.
func TestDecisions(t *testing.T) {
	var jobs []job
	for _, shape := range Shapes {
		for _, fault := range Faults {
			for _, period := range Periods {
				if !regexp.MustCompile(*onlyFault).MatchString(fault.Name) || *seeds == 1 && !isShort(fault, period) {
					continue
				}
				for seed := range *seeds {
					jobs = append(jobs, job{shape, fault, period, uint64(seed + 1)})
				}
			}
		}
	}
	rules := slices.DeleteFunc(slices.Clone(Rules), func(r Rule) bool {
		return !strings.Contains(r.Name, *onlyRule) || *seeds == 1 && r.Name != "engine"
	})
	rows := run(t, jobs, rules)
	if testing.Verbose() {
		printRules(os.Stdout, rows, rules)
		printPeriods(os.Stdout, rows)
	}
	checkTargets(t, rows)
	if *curve && *seeds > 1 {
		printCurve(os.Stdout, jobs, func(jobs []job) map[rowKey]*Row { return run(t, jobs, Rules[len(Rules)-1:]) })
	}
}

// printCurve prints the results of the engine over all faults for several
// sensitivities.
func printCurve(w io.Writer, jobs []job, run func([]job) map[rowKey]*Row) {
	fmt.Fprintf(w, "\nThe engine by sensitivity, all faults:\n\n| shape | sensitivity %s|---|--:|--:|--:|--:|--:|--:|--:|--:|\n", header)
	for _, shape := range Shapes {
		for _, sensitivity := range []float64{0, 0.2, 0.5, 0.8, 1} {
			var sum Row
			var chosen []job
			for _, j := range jobs {
				if j.shape.Name == shape.Name {
					j.shape.Sensitivity = sensitivity
					chosen = append(chosen, j)
				}
			}
			for _, row := range run(chosen) {
				sum.Merge(*row)
			}
			printRow(w, sum, shape.Name, fmt.Sprint(sensitivity))
		}
	}
}

// isShort selects the traces of the short set, for ordinary test runs. They are
// so few that a run with the race detector takes well under a minute.
func isShort(f Fault, p TrafficPeriod) bool {
	names := map[string][]string{
		"normal": {"fails all", "fails 20%"},
		"quiet":  {"none", "cut region", "faulty instance, all", "poisonous caller"},
	}
	return slices.Contains(names[p.Name], f.Name)
}

func checkTargets(t *testing.T, rows map[rowKey]*Row) {
	t.Helper()
	var total, partial []time.Duration
	for key, row := range rows {
		if key.rule != "engine" {
			continue
		}
		if key.shape == "Bloomtally" && row.FalseEjections > 0 {
			t.Errorf("Bloomtally, %s, %s: %d false ejections, want none", key.fault, key.period, row.FalseEjections)
		}
		if key.shape == "Rücklauf" {
			total = append(total, row.Total...)
			partial = append(partial, row.Partial...)
		}
	}
	if got := Quantile(total, 0.5); got > totalMedian {
		t.Errorf("Rücklauf, total failures: median detection time is %v, want at most %v", got, totalMedian)
	}
	if got := Quantile(total, 0.99); got > totalP99 {
		t.Errorf("Rücklauf, total failures: 99th percentile of the detection time is %v, want at most %v", got, totalP99)
	}
	if got := Quantile(partial, 1); got > partialMax {
		t.Errorf("Rücklauf, 20%% failures: longest detection time is %v, want at most %v", got, partialMax)
	}
}

const header = "| first p50 | first p99 | all p50 | all p99 | missed | false | upstream-s |\n"

func printRules(w io.Writer, rows map[rowKey]*Row, rules []Rule) {
	fmt.Fprintf(w, "\n| shape | fault | rule %s|---|---|---|--:|--:|--:|--:|--:|--:|--:|\n", header)
	for _, shape := range Shapes {
		for _, fault := range Faults {
			for _, rule := range rules {
				var sum Row
				for _, p := range Periods {
					if row := rows[rowKey{shape.Name, fault.Name, p.Name, rule.Name}]; row != nil {
						sum.Merge(*row)
					}
				}
				if len(rowKeys(rows, shape.Name, fault.Name)) > 0 {
					printRow(w, sum, shape.Name, fault.Name, rule.Name)
				}
			}
		}
	}
}

// rowKeys returns the keys of the rows of one fault.
func rowKeys(rows map[rowKey]*Row, shape, fault string) []rowKey {
	var keys []rowKey
	for key := range rows {
		if key.shape == shape && key.fault == fault {
			keys = append(keys, key)
		}
	}
	return keys
}

func printPeriods(w io.Writer, rows map[rowKey]*Row) {
	fmt.Fprintf(w, "\nThe engine by period:\n\n| shape | fault | period %s|---|---|---|--:|--:|--:|--:|--:|--:|--:|\n", header)
	for _, shape := range Shapes {
		for _, fault := range Faults {
			for _, p := range Periods {
				if row := rows[rowKey{shape.Name, fault.Name, p.Name, "engine"}]; row != nil {
					printRow(w, *row, shape.Name, fault.Name, p.Name)
				}
			}
		}
	}
}

func printRow(w io.Writer, r Row, names ...string) {
	seconds := func(v []time.Duration, q float64) string {
		if len(v) == 0 {
			return "–"
		}
		return fmt.Sprintf("%.2f s", Quantile(v, q).Seconds())
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %d | %d | %.0f |\n", strings.Join(names, " | "),
		seconds(r.First, 0.5), seconds(r.First, 0.99), seconds(r.All, 0.5), seconds(r.All, 0.99), r.Missed, r.FalseEjections, r.FalseEjectionSeconds)
}
