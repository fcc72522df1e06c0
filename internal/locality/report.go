package locality

// Report is the load of one service in the sender's region.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Slots   float64 // see Pool
	Load    float64
}

// NotableUtilization is the utilization from which a service is reported. Below it
// a region has room for others, whatever the exact load.
const NotableUtilization = 0.5

// Valid reports whether the report holds numbers that can be used.
func (r *Report) Valid() bool {
	const most = 1e9                                                        // more slots than any fleet has
	return r.Slots >= 0 && r.Slots <= most && r.Load >= 0 && r.Load <= most // false for NaN
}
