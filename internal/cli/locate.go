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

// locateTimeout bounds the question to one entry address.
const locateTimeout = 5 * time.Second

// maxAnswerBytes bounds what is read of an entry's answer.
const maxAnswerBytes = 1 << 20

// entryClient uses no proxy: entry addresses are reached directly.
var entryClient = &http.Client{Transport: &http.Transport{}}

// location is an address where callers reach a service.
type location struct {
	Address       string `json:"address"`
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// locations is an entry's answer to a locate request.
type locations struct {
	Service   string     `json:"service"`
	Addresses []location `json:"addresses"` // best first
	KeepMS    int        `json:"keep_ms"`
	Revision  uint64     `json:"revision"`
}

func locateCommand() *command {
	var entry, service, region string
	return &command{
		name:        "locate",
		description: "Print the addresses where callers of a service connect",
		examples:    []string{"knapweedreel locate entries --entry 10.0.0.1:8080,10.0.1.1:8080 --region south"},
		define: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&service, "SERVICE", 1, true, "Name of the service")
			sc.String(&entry, "", "entry", "IP:port of entry addresses, separated by commas; the next is asked when one does not answer")
			sc.String(&region, "", "region", "Region of the caller, whose addresses come first")
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

// splitList splits a flag's list at commas.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// locateAny asks the entries in turn until one answers. Asking changes
// nothing, so any failure allows asking the next.
func locateAny(ctx context.Context, entries []string, service, region string) (locations, error) {
	if len(entries) == 0 {
		return locations{}, exitWith(ExitUsage, "locate needs --entry with at least one IP:port")
	}
	var last error
	for _, entry := range entries {
		found, err := locate(ctx, entry, service, region)
		if err == nil {
			return found, nil
		}
		last = err
	}
	return locations{}, last
}

func locate(ctx context.Context, entry, service, region string) (locations, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "region": {region}}
	target := "http://" + entry + "/.knapweedreel/locate?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return locations{}, exitWith(ExitUsage, "entry address %q: %v", entry, err)
	}
	answer, err := entryClient.Do(r)
	if err != nil {
		return locations{}, exitWith(ExitUnreachable, "%v", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return locations{}, exitWith(ExitUnreachable, "%s: %v", entry, err)
	}
	if kind := answer.Header.Get(errkind.HeaderError); kind != "" {
		message := strings.TrimPrefix(strings.TrimSpace(string(body)), kind+": ")
		return locations{}, errkind.New(errkind.Kind(kind), "%s: %s", entry, message)
	}
	var found locations
	if err := json.Unmarshal(body, &found); err != nil {
		return locations{}, errors.Wrapf(err, "answer of %s with status %d", entry, answer.StatusCode)
	}
	return found, nil
}

func printLocations(w io.Writer, found locations) {
	fmt.Fprintf(w, "service=%s revision=%d keep_ms=%d\n", found.Service, found.Revision, found.KeepMS)
	for _, a := range found.Addresses {
		fmt.Fprintf(w, "%s instance=%s region=%s failure_domain=%s\n", a.Address, a.Instance, a.Region, a.FailureDomain)
	}
}
