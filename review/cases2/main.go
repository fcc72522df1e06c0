package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"slow-target":  slowTarget,
	"crowd":        crowd,
	"cut-watch":    cutWatch,
	"stalled":      stalled,
	"changed-path": changedPath,
	"gone":         gone,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = rec.file.Close() }()
	rec.add("case %s, trouble %t", name, trouble)
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.conclude("%v: %v", errCannotRun, err)
		return exitNotRun
	case broken:
		rec.conclude("the rule was broken")
		return exitBroken
	}
	rec.conclude("the rule held")
	return exitHeld
}
