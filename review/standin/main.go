// Command standin runs one case of the review: real instances as separate
// processes, and in this process the platform's store, the upstreams and the
// callers. It writes what was sent, answered and run to the record, and exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

//go:embed names.json
var namesFile []byte

// names holds the names and formats of the platform.
var names = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case. The issue allows 120 s.
const caseTimeout = 110 * time.Second

var cases = map[string]func(*run) bool{
	"refused": refusedCase,
	"denied":  deniedCase,
	"drain":   drainCase,
	"route":   routeCase,
	"backoff": backoffCase,
}

func main() { os.Exit(mainExit()) }

func mainExit() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER, in the root of the repository")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r, err := newRun(ctx, filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	defer func() {
		if p := recover(); p != nil {
			failure, ok := p.(caseFailure)
			if !ok {
				panic(p)
			}
			r.note("the case could not run: %s", string(failure))
			fmt.Fprintln(os.Stderr, string(failure))
			code = exitNotRun
		}
	}()
	broken := cases[os.Args[1]](r)
	if ctx.Err() != nil {
		r.failf("the case was not over after %v", caseTimeout)
	}
	if broken {
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
