package decisions

import (
	"fmt"
	"time"

	"knapweedreel/internal/document"
)

// Shape describes a fleet with its regions, services and traffic.
type Shape struct {
	Name        string
	Services    []Service
	Regions     []string
	Slots       int // slots of each upstream
	Sensitivity float64
}

// Service describes a service of a shape.
type Service struct {
	Name      string
	Upstreams int
	Deadline  time.Duration
	Routes    []Route
}

// Route describes a route of a service.
type Route struct {
	Path       string
	Share      float64       // share of the service's requests
	Median     time.Duration // median response time of a healthy upstream
	Idempotent bool
}

const (
	instances      = 32
	failureDomains = 6
	callerCount    = 40
	coldStart      = 5 * time.Second
	// floorShare is the floor of each service as a share of its slots.
	floorShare = 0.6
	// normalUtilization is the share of the slots in use in normal hours. A
	// surge of 10 times exceeds the capacity.
	normalUtilization = 0.2
)

// TrafficPeriod is a time of day with its traffic, as a multiple of the traffic
// in normal hours.
type TrafficPeriod struct {
	Name    string
	Traffic float64
}

// Periods are the traffic periods to measure.
var Periods = []TrafficPeriod{{"normal", 1}, {"quiet", 0.1}, {"surge", 10}}

// Shapes are the shapes to measure, one for each user. The sensitivity follows
// what the user values more: few false ejections (low) or fast detection (high).
var Shapes = []Shape{
	{
		Name: "Bloomtally", Regions: []string{"south", "north", "northwest"}, Slots: 6, Sensitivity: 0.2,
		Services: []Service{
			{"schedules", 12, 2 * time.Second, lookups()},
			{"entries", 15, 2 * time.Second, postings()},
			{"photos", 12, 4 * time.Second, uploads()},
		},
	},
	{
		Name: "Rücklauf", Regions: []string{"oberbayern", "franken", "schwaben"}, Slots: 3, Sensitivity: 0.8,
		Services: []Service{
			{"jars", 12, time.Second, lookups()},
			{"credits", 14, time.Second, postings()},
			{"crates", 12, 4 * time.Second, uploads()},
		},
	},
}

func lookups() []Route {
	return []Route{
		{"GET /status/*", 0.6, 15 * time.Millisecond, true},
		{"GET /balance/*", 0.25, 20 * time.Millisecond, true},
		{"GET /search", 0.15, 40 * time.Millisecond, true},
	}
}

func postings() []Route {
	return []Route{
		{"POST /items", 0.6, 25 * time.Millisecond, false},
		{"GET /items/*", 0.4, 15 * time.Millisecond, true},
	}
}

func uploads() []Route {
	return []Route{
		{"PUT /files/*", 0.4, 60 * time.Millisecond, true},
		{"GET /files/*", 0.6, 30 * time.Millisecond, true},
	}
}

func (s Shape) regionOf(domain int) string { return s.Regions[domain%len(s.Regions)] }

// document returns the document of a service with the given number of
// upstreams. The floor is computed from service.Upstreams.
func (s Shape) document(service Service, upstreams int) *document.Document {
	sensitivity, cold := s.Sensitivity, int(coldStart/time.Millisecond)
	d := &document.Document{
		Service:    service.Name,
		FloorSlots: int(floorShare * float64(service.Upstreams*s.Slots)),
		Unhealthy:  document.Unhealthy{Sensitivity: &sensitivity, ColdStartMS: &cold},
		DeadlineMS: int(service.Deadline / time.Millisecond),
	}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, document.Upstream{
			ID: fmt.Sprintf("u%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Region: s.regionOf(i % failureDomains), FailureDomain: fmt.Sprint(i % failureDomains),
			Slots: s.Slots, Connections: 330,
		})
	}
	for _, r := range service.Routes {
		d.Routes = append(d.Routes, document.Route{Method: "*", Path: r.Path, Idempotent: r.Idempotent})
	}
	return d
}
