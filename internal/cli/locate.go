package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/errkind"
)

// locateTimeout bounds the request to one entry address.
const locateTimeout = 5 * time.Second

// maxResponseBytes bounds what is read of an entry's response.
const maxResponseBytes = 1 << 20

// entryClient ignores proxy settings: entry addresses are reached directly.
var entryClient = &http.Client{Transport: &http.Transport{}}

// location is an address at which callers reach a service.
type location struct {
	Address       string `json:"address"`
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// locateResponse is an entry's response to a locate request.
type locateResponse struct {
	Service   string     `json:"service"`
	Addresses []location `json:"addresses"` // best first
	KeepMS    int        `json:"keep_ms"`
	Revision  uint64     `json:"revision"`
}

func locateCommand() *command {
	var entry, service, region string
	return &command{
		name:        "locate",
		description: "Print the addresses that callers of a service connect to",
		examples:    []string{"knapweedreel locate entries --entry 10.0.0.1:8080,10.0.1.1:8080 --region south"},
		addArgs: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&service, "SERVICE", 1, true, "Name of the service")
			sc.String(&entry, "", "entry", "IP:port of entry addresses, separated by commas; the next is tried when one fails")
			sc.String(&region, "", "region", "Region of the caller; its addresses are printed first")
		},
		run: func(ctx context.Context, s *session) error {
			found, err := locateAny(ctx, splitList(entry), service, region)
			if err != nil {
				return err
			}
			return s.print(found, func(w io.Writer) { printLocations(w, found) })
		},
	}
}

// splitList splits a flag's list at commas and spaces.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// locateAny tries the entries in turn until one returns addresses. A locate
// request changes nothing, so the next entry can be tried after any failure.
func locateAny(ctx context.Context, entries []string, service, region string) (locateResponse, error) {
	if len(entries) == 0 {
		return locateResponse{}, exitErrorf(ExitUsage, "locate needs --entry with at least one IP:port")
	}
	var lastErr error
	for _, entry := range entries {
		found, err := locate(ctx, entry, service, region)
		if err == nil {
			return found, nil
		}
		lastErr = err
	}
	return locateResponse{}, lastErr
}

func locate(ctx context.Context, entry, service, region string) (locateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "region": {region}}
	requestURL := "http://" + entry + "/.knapweedreel/locate?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return locateResponse{}, exitErrorf(ExitUsage, "entry address %q: %v", entry, err)
	}
	response, err := entryClient.Do(r)
	if err != nil {
		return locateResponse{}, exitErrorf(ExitUnreachable, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return locateResponse{}, exitErrorf(ExitUnreachable, "%s: %v", entry, err)
	}
	if kind := response.Header.Get(errkind.HeaderError); kind != "" {
		message := strings.TrimPrefix(strings.TrimSpace(string(body)), kind+": ")
		return locateResponse{}, errkind.New(errkind.Kind(kind), "%s: %s", entry, message)
	}
	var found locateResponse
	if err := json.Unmarshal(body, &found); err != nil {
		return locateResponse{}, errors.Wrapf(err, "response from %s with status %d", entry, response.StatusCode)
	}
	return found, nil
}

func printLocations(w io.Writer, found locateResponse) {
	fmt.Fprintf(w, "service=%s revision=%d keep_ms=%d\n", found.Service, found.Revision, found.KeepMS)
	for _, a := range found.Addresses {
		fmt.Fprintf(w, "%s instance=%s region=%s failure_domain=%s\n", a.Address, a.Instance, a.Region, a.FailureDomain)
	}
}
