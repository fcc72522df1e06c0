package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/standin/upstream"
)

// maxMistakes limits the mistakes that a RunCheck lists.
const maxMistakes = 20

// RunCheck compares the outcomes that callers saw with the requests that
// upstreams ran.
type RunCheck struct {
	Requests int      `json:"requests"` // requests of this Caller
	Runs     int      `json:"runs"`     // runs of these requests at all upstreams
	Repeated int      `json:"repeated"` // requests that were run more than once
	Mistakes []string `json:"mistakes"` // contradictions, at most maxMistakes
}

// checkRuns fetches the runs of all upstreams and compares them with the
// outcomes.
func (c *Caller) checkRuns(ctx context.Context) (RunCheck, error) {
	runs := map[string]int{}
	for _, address := range c.cfg.CheckRunsAt {
		got, err := c.fetchRuns(ctx, address)
		if err != nil {
			return RunCheck{}, errors.Wrap(err, address)
		}
		for id, n := range got.ByID {
			runs[id] += n
		}
	}
	return compareRuns(c.recorder.outcomesByID(), runs, c.cfg.AtMostOnce), nil
}

func (c *Caller) fetchRuns(ctx context.Context, address string) (upstream.Runs, error) {
	var runs upstream.Runs
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/.standin/runs", nil)
	if err != nil {
		return runs, err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return runs, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&runs)
	return runs, err
}

func compareRuns(outcomes map[string]Outcome, runs map[string]int, atMostOnce bool) RunCheck {
	check := RunCheck{Requests: len(outcomes), Mistakes: []string{}}
	for id, outcome := range outcomes {
		n := runs[id]
		check.Runs += n
		if n > 1 {
			check.Repeated++
		}
		problem := ""
		switch {
		case outcome == OK && n == 0:
			problem = "got a response but was not run"
		case outcome == NotRun && n > 0:
			problem = fmt.Sprintf("was reported as not run but ran %d times", n)
		case atMostOnce && n > 1:
			problem = fmt.Sprintf("ran %d times", n)
		}
		if problem != "" && len(check.Mistakes) < maxMistakes {
			check.Mistakes = append(check.Mistakes, id+" "+problem)
		}
	}
	return check
}
