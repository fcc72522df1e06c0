package document

// Defaults of a document's fields. Times are in milliseconds.
const (
	DefaultDeadlineMS     = 10_000
	DefaultRetries        = 2
	DefaultQueueLength    = 64
	DefaultQueueTimeoutMS = 1_000
	DefaultIdleTimeoutMS  = 10_000
	DefaultConnections    = 330
	DefaultSlowFactor     = 2.5
	DefaultSensitivity    = 0.5
	DefaultColdStartMS    = 10_000
	DefaultMaxBodyBytes   = 16 << 20
)

// Normalize sets absent fields to their defaults. It is idempotent.
func (d *Document) Normalize() {
	setDefault(&d.DeadlineMS, DefaultDeadlineMS)
	setDefault(&d.IdleTimeoutMS, DefaultIdleTimeoutMS)
	setDefault(&d.Queue.Length, DefaultQueueLength)
	setDefault(&d.Queue.TimeoutMS, DefaultQueueTimeoutMS)
	setDefaultPointer(&d.Retries, DefaultRetries)
	d.Unhealthy.normalize()
	for i := range d.Upstreams {
		setDefault(&d.Upstreams[i].Connections, DefaultConnections)
		setDefault(&d.Upstreams[i].State, UpstreamActive)
	}
	for i := range d.Routes {
		setDefault(&d.Routes[i].DeadlineMS, d.DeadlineMS)
		setDefault(&d.Routes[i].ObjectiveMS, d.Routes[i].DeadlineMS)
		setDefault(&d.Routes[i].MaxBodyBytes, DefaultMaxBodyBytes)
	}
}

func (u *Unhealthy) normalize() {
	if u.Statuses == nil {
		u.Statuses = []int{500, 502, 503, 504}
	}
	setDefaultPointer(&u.SlowFactor, DefaultSlowFactor)
	setDefaultPointer(&u.Sensitivity, DefaultSensitivity)
	setDefaultPointer(&u.ColdStartMS, DefaultColdStartMS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func setDefaultPointer[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}
