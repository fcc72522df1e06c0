package proofs

import (
	"fmt"
	"net/url"
)

// locate asks an instance for addresses, as callers do.
func locate(entry, service, region string) ([]string, error) {
	var reply struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	q := url.Values{"service": {service}, "region": {region}}
	if err := fetch(fmt.Sprintf("http://%s/.knapweedreel/locate?%s", entry, q.Encode()), &reply); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(reply.Addresses))
	for _, a := range reply.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, nil
}
