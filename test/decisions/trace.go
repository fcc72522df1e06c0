// Package decisions measures the decisions of the health engine on recorded
// traces of events: how long a faulty upstream stays in service, and how often
// a healthy one is taken out.
//
// A trace holds one stream of events for each instance. A small generator
// produces traces from stated fault models. Replay feeds each stream to an
// engine of its own and delivers the evidence that the engines send to each
// other. Outcomes are drawn independently of the decisions, except that an
// upstream out of service at an engine has no outcomes there.
package decisions

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/health"
)

// Record is one event of a stream. A stream is stored as one JSON object a line.
type Record struct {
	Time  time.Time    `json:"time"`
	Event health.Event `json:"event"`
}

// Trace is what a fleet went through, with the truth about it.
type Trace struct {
	Start, End time.Time
	Instances  []Instance
	Streams    [][]Record // by instance, in order of time
	Faults     []*Window  // of upstreams that are faulty
	Cuts       []Cut
}

// Instance is one instance of the fleet.
type Instance struct {
	Name   string
	Region string
}

// Window is the time for which an upstream is faulty.
type Window struct {
	Upstream health.Key
	From     time.Time // failure, or late answer, of the first request that met the fault; zero: none did
	To       time.Time
	Target   Target
}

// Target names a target of section 2 of the design.
type Target uint8

// The targets.
const (
	NoTarget Target = iota
	// Total is for upstreams that fail all work.
	Total
	// Partial is for upstreams that fail 20% of it.
	Partial
)

// Cut is a time for which a region has no contact with the others.
type Cut struct {
	Region   string
	From, To time.Time
}

// WriteStream writes a stream as JSON lines.
func WriteStream(w io.Writer, records []Record) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return errors.Wrapf(err, "record %d", i)
		}
	}
	return errors.Wrap(buffered.Flush(), "write stream")
}

// ReadStream reads a stream of JSON lines. Unknown fields are errors.
func ReadStream(r io.Reader) ([]Record, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var records []Record
	for {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "record %d", len(records))
		}
		records = append(records, record)
	}
}
