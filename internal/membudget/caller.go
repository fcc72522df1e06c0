package membudget

import (
	"net"
	"net/netip"
)

// addressPrefix is the number of bits of an IPv6 address that identify a caller. A
// site usually has all addresses of such a prefix.
const addressPrefix = 64

// CallerOf returns the caller to whom a connection from an address is charged. It
// isn't the account that a request names, because a client can name any.
func CallerOf(a net.Addr) string {
	address, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return a.String()
	}
	ip := address.Addr().Unmap()
	if ip.Is6() {
		if prefix, err := ip.Prefix(addressPrefix); err == nil {
			return prefix.String()
		}
	}
	return ip.String()
}
