// Package decisions measures the decisions of the health engine on traces of
// events: how long faulty upstreams stay in service, and how often healthy ones
// are ejected.
//
// A trace holds a stream of events for each instance. Generate generates traces
// from fault models. Replay applies each stream to a separate engine and
// delivers the evidence that the engines send to each other. The outcomes in a
// trace do not depend on the decisions, but Replay leaves out the outcomes of
// requests that an instance would not have sent.
package decisions

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/health"
)

// Record is one event of a stream. Streams are stored as JSON lines.
type Record struct {
	Time  time.Time    `json:"time"`
	Event health.Event `json:"event"`
}

// Trace holds the events at each instance of a fleet, and the faults behind
// them.
type Trace struct {
	Start, End time.Time
	Instances  []Instance
	Streams    [][]Record     // by instance, ordered by time
	Faults     []*FaultPeriod // fault periods of upstreams
	Partitions []Partition
}

// Instance is one instance of the fleet.
type Instance struct {
	Name   string
	Region string
}

// FaultPeriod is a time in which an upstream is faulty.
type FaultPeriod struct {
	Upstream health.Key
	From     time.Time // end of the first request that the fault affected, zero if there was none
	To       time.Time
	Target   DetectionTarget
}

// DetectionTarget is a detection time target of section 2 of docs/design.md.
type DetectionTarget uint8

// Detection time targets.
const (
	NoTarget DetectionTarget = iota
	// Total applies to upstreams that fail all requests.
	Total
	// Partial applies to upstreams that fail 20% of the requests.
	Partial
)

// Partition is a time in which a region is disconnected from the others.
type Partition struct {
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
