package jsonc

import (
	"net/netip"
	"regexp"
)

// Limits shared by documents and settings.
const (
	MaxNameBytes = 128
	MaxTimeMS    = 24 * 60 * 60 * 1000 // one day, in milliseconds
)

var namePattern = regexp.MustCompile(`^[a-z0-9._-]+$`)

// CheckName adds a problem if name is not valid for a service, upstream,
// instance, region or failure domain.
func (p *Problems) CheckName(field, name string) {
	switch {
	case name == "":
		p.Add(field, "is missing")
	case name == "." || name == "..": // removed when URL paths are cleaned
		p.Add(field, "is %q, want at least one letter or digit", name)
	case !namePattern.MatchString(name):
		p.Add(field, "is %q, want only a-z, 0-9, \".\", \"_\" and \"-\"", name)
	case len(name) > MaxNameBytes:
		p.Add(field, "is %d bytes long, at most %d are allowed", len(name), MaxNameBytes)
	}
}

// CheckAddress adds a problem if address is not an IP address with a port to
// which others can connect. Host names are not resolved.
func (p *Problems) CheckAddress(field, address string) {
	if address == "" {
		p.Add(field, "is missing, want IP:port")
		return
	}
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		p.Add(field, "is %q, want IP:port", address)
	case a.Port() == 0:
		p.Add(field, "is %q, the port must not be 0", address)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		p.Add(field, "is %q, nobody can connect to this IP address", address)
	}
}

// CheckRange adds a problem if value is not between low and high.
func CheckRange[T int | int64 | float64](p *Problems, field string, value, low, high T) {
	if !(value >= low && value <= high) { // also true for NaN
		p.Add(field, "is %v, want %v to %v", value, low, high)
	}
}
