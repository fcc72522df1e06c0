package entry

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/account"
	"knapweedreel/internal/admission"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/routing"
)

const headerAuthorization = "Authorization"

// credentials are what a request presented to identify its client account. They
// are immutable, because dispatching goroutines and hedges read them, too.
type credentials struct {
	values     []string // of the Authorization header
	host, path string   // of the request, to find its route in a later version
	public     bool     // the request needed no key on arrival
	identity   account.Identity
	// version is that of the accounts on arrival, 0 if the configuration had none.
	version uint64
}

// holder is the client account that holds a request's key in one version of the
// configuration.
type holder struct {
	enforced bool             // the configuration has accounts
	account  *account.Account // nil if the request has none
}

// identify sets the credentials and the account of a request. It returns an error
// if the request needs a key and has no valid one.
func (e *exchange) identify(snap *routing.Snapshot, public bool) error {
	c := &credentials{values: e.r.Header[headerAuthorization], host: e.r.Host, path: e.r.URL.Path, public: public}
	e.credentials, e.account = c, nil
	if snap.Accounts == nil {
		return nil
	}
	c.version = snap.Accounts.Version()
	c.identity, _ = snap.Accounts.Identify(c.values)
	// A caller must not pass for an account by naming it.
	e.caller = callerAddress(e.r)
	h, err := c.holder(snap)
	if err != nil {
		return err
	}
	if e.account = h.account; h.account != nil {
		e.caller = h.account.Name
	}
	return nil
}

// holder returns the account that holds the key in a snapshot, or an error if the
// request needs a key and has no valid one. c may be nil.
func (c *credentials) holder(snap *routing.Snapshot) (holder, error) {
	set := snap.Accounts
	if c == nil || set == nil {
		return holder{}, nil
	}
	if a, ok := set.Resolve(c.identity); ok {
		return holder{enforced: true, account: a}, nil
	}
	public := c.public
	if set.Version() != c.version {
		// The configuration has changed since the request was identified.
		if r := currentRoute(snap, c); r != nil {
			public = r.Public
		}
	} else if public {
		return holder{enforced: true}, nil
	}
	id, err := set.Identify(c.values)
	if a, ok := set.Resolve(id); ok {
		return holder{enforced: true, account: a}, nil
	}
	if public {
		return holder{enforced: true}, nil
	}
	return holder{}, errkind.Wrap(errkind.Unauthenticated, err, "version %d of the configuration", set.Version())
}

// currentRoute returns the route that the request would match now, nil for none.
func currentRoute(snap *routing.Snapshot, c *credentials) *routing.Route {
	if snap.Table == nil {
		return nil
	}
	return snap.Table.Match(normalizeHost(c.host), c.path)
}

// holder returns the account that holds the request's key now, or an error if the
// request must not be sent.
func (e *exchange) holder() (holder, error) { return e.credentials.holder(e.s.control.Snapshot()) }

// checkAccount returns an error if the request's key has been withdrawn.
func (e *exchange) checkAccount() error {
	_, err := e.holder()
	return err
}

// credentialFault returns the reason, for explanations, of an error of the kind
// Unauthenticated.
func credentialFault(err error) string {
	switch {
	case errors.Is(err, account.ErrNoKey):
		return "no-key"
	case errors.Is(err, account.ErrMalformed):
		return "malformed-credentials"
	}
	return "unknown-key"
}

// class returns the urgency of the request. An account without a priority leaves
// it to the route.
func (e *exchange) class() admission.Class {
	class := admission.Class{Account: e.route.Priority, Route: e.route.Priority}
	if e.account != nil && e.account.Priority != nil {
		class.Account = *e.account.Priority
	}
	return class
}

// setHeaders replaces the credentials in the header of a request to an upstream by
// the name of the account. It changes nothing if the configuration has no
// accounts.
func (h holder) setHeaders(header http.Header, p *upstream.Protocol) {
	h.removeHeaders(header, p)
	if h.account != nil && p.Account != "" {
		header[p.Account] = []string{h.account.Name}
	}
}

// removeHeaders removes the credentials and the name of an account from the header
// or trailer of a request.
func (h holder) removeHeaders(header http.Header, p *upstream.Protocol) {
	if !h.enforced {
		return
	}
	for name := range header {
		if sameName(name, headerAuthorization) || p.Account != "" && sameName(name, p.Account) {
			delete(header, name)
		}
	}
}

// sameName reports whether an upstream may take two names of headers for the same:
// common interfaces of HTTP servers such as CGI (RFC 3875, section 4.1.18) map all
// punctuation to underscores and ignore case.
func sameName(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if foldName(a[i]) != foldName(b[i]) {
			return false
		}
	}
	return true
}

func foldName(c byte) byte {
	switch {
	case 'A' <= c && c <= 'Z':
		return c - 'A' + 'a'
	case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		return c
	}
	return '_'
}

// callerAddress returns the IP address of the caller.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
