package proofs

import (
	"fmt"
	"net/url"
)

// locate asks an instance for the addresses of a service, as callers do.
func locate(entry, service, region string) ([]string, error) {
	var response struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	q := url.Values{"service": {service}, "region": {region}}
	if err := fetch(fmt.Sprintf("http://%s/.knapweedreel/locate?%s", entry, q.Encode()), &response); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(response.Addresses))
	for _, a := range response.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, nil
}
