package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// caseFailure is the value of a panic that ends a case which cannot run.
type caseFailure string

// run is one run of a case.
type run struct {
	ctx     context.Context
	trouble bool   // inject the disruption
	dir     string // temporary
	began   time.Time
	store   *store

	mu        sync.Mutex
	file      *os.File
	record    *bufio.Writer
	instances []*instance
	targets   []*target
	version   int
}

func newRun(ctx context.Context, record string) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), file: f, record: bufio.NewWriter(f)}
	if r.store, err = startStore(); err != nil {
		return nil, err
	}
	r.note("trouble=%v", r.trouble)
	return r, nil
}

// close ends all processes of the run and removes its files.
func (r *run) close() {
	for _, i := range r.instances {
		i.kill()
	}
	for _, t := range r.targets {
		t.close()
	}
	r.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", r.dir)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
}

// failf ends a case that cannot run.
func (r *run) failf(format string, args ...any) { panic(caseFailure(fmt.Sprintf(format, args...))) }

// note writes a line to the record, with the seconds since the start.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.record, format, args...)
	_ = r.record.WriteByte('\n')
}

// sleep waits for d, or fails the case if its time is over.
func (r *run) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
		r.failf("the case was not over in time")
	}
}

// await waits until ok returns true.
func (r *run) await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); r.sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.failf("not within %v: %s", limit, what)
		}
	}
}
