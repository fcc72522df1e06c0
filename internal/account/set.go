package account

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of an account. Values beyond them are mistakes of the operator.
const (
	MaxKeyBytes  = 256
	MaxNameBytes = 200 // the name is sent to upstreams in a header
	MaxRate      = 1e9 // requests per second, also for Burst
)

// Errors of Set.Identify. They contain no part of the credentials.
var (
	ErrNoKey      = errors.New("the request has no key")
	ErrMalformed  = errors.New("the credentials are not one key of the scheme Bearer")
	ErrUnknownKey = errors.New("no account has the key")
)

// Definition is an account with its keys, as the operator wrote it.
type Definition struct {
	Account
	Keys []Key
}

// Set is the accounts of one version of the configuration. It is immutable.
type Set struct {
	version  uint64
	accounts []Account         // sorted by name
	byKey    map[digest]uint32 // index in accounts
}

// Identity names a key that a request presented, and the version of the
// configuration that had it. Only Set.Resolve leads from it to the account. The
// zero Identity names no key.
type Identity struct {
	key     digest
	version uint64
}

// Version returns the version of the configuration in which the key was found, 0
// for the zero Identity.
func (i Identity) Version() uint64 { return i.version }

// digest is a keyed hash of a key. At 128 bits, neither two keys of operators nor
// a guess of a caller have a noticeable chance of the same digest.
type digest [16]byte

// seed is the secret of the hash. It differs in each process, so that digests in a
// memory dump don't allow a search for short keys that is prepared in advance, and
// so that callers cannot choose keys whose digests collide.
var seed = func() (s [32]byte) {
	_, _ = rand.Read(s[:]) // never fails
	return s
}()

// digestOf returns the digest of a key of at most MaxKeyBytes.
func digestOf(key string) digest {
	var buf [len(seed) + MaxKeyBytes]byte // on the stack
	copy(buf[:], seed[:])
	n := copy(buf[len(seed):], key)
	sum := sha256.Sum256(buf[:len(seed)+n])
	return digest(sum[:len(digest{})])
}

// NewSet returns the set of the given accounts, or an error if one is invalid or
// two have the same name or key. The version must be above 0. The set keeps no
// reference to the definitions. Errors name accounts, but contain no keys.
func NewSet(definitions []Definition, version uint64) (*Set, error) {
	if version == 0 {
		return nil, errors.New("the version of the accounts is 0")
	}
	keys := 0
	for i := range definitions {
		if err := definitions[i].validate(); err != nil {
			return nil, err
		}
		keys += len(definitions[i].Keys)
	}
	order := make([]*Definition, len(definitions))
	for i := range definitions {
		order[i] = &definitions[i]
	}
	slices.SortFunc(order, func(a, b *Definition) int { return cmp.Compare(a.Name, b.Name) })
	s := &Set{version: version, accounts: make([]Account, 0, len(order)), byKey: make(map[digest]uint32, keys)}
	for i, d := range order {
		if i > 0 && order[i-1].Name == d.Name {
			return nil, errors.Newf("two accounts have the name %q", d.Name)
		}
		for _, key := range d.Keys {
			id := digestOf(string(key))
			if other, ok := s.byKey[id]; ok && int(other) != i {
				return nil, errors.Newf("accounts %q and %q have the same key", s.accounts[other].Name, d.Name)
			}
			s.byKey[id] = uint32(i)
		}
		s.accounts = append(s.accounts, d.copy())
	}
	return s, nil
}

// copy returns the account without a reference to the definition.
func (d *Definition) copy() Account {
	a := d.Account
	a.Name = strings.Clone(a.Name)
	if a.Priority != nil {
		priority := *a.Priority
		a.Priority = &priority
	}
	return a
}

func (d *Definition) validate() error {
	switch {
	case d.Name == "":
		return errors.New("an account has an empty name")
	case len(d.Name) > MaxNameBytes:
		return errors.Newf("the name of account %.40q... has %d bytes, want at most %d", d.Name, len(d.Name), MaxNameBytes)
	case !sendable(d.Name):
		return errors.Newf("the name of account %q cannot be sent in a header", d.Name)
	case d.Priority != nil && *d.Priority < 0:
		return errors.Newf("the priority of account %q is %d, want 0 or more", d.Name, *d.Priority)
	case !validRate(d.Rate):
		return errors.Newf("the rate of account %q is %g, want 0 to %g", d.Name, d.Rate, MaxRate)
	case !validRate(d.Burst):
		return errors.Newf("the burst of account %q is %g, want 0 to %g", d.Name, d.Burst, MaxRate)
	}
	for i, key := range d.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			return errors.Newf("key %d of account %q has %d bytes, want 1 to %d", i+1, d.Name, len(key), MaxKeyBytes)
		}
	}
	return nil
}

// validRate is false for NaN, too.
func validRate(r float64) bool { return r >= 0 && r <= MaxRate }

// sendable reports whether a name arrives unchanged in a header: it has no control
// characters, and no spaces around it, which recipients remove.
func sendable(name string) bool {
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return false
		}
	}
	return strings.Trim(name, " ") == name
}

// Version returns the version of the configuration that the set belongs to.
func (s *Set) Version() uint64 { return s.version }

// Len returns the number of accounts.
func (s *Set) Len() int { return len(s.accounts) }

// Get returns the account with the given name.
func (s *Set) Get(name string) (*Account, bool) {
	i, ok := sort.Find(len(s.accounts), func(i int) int { return cmp.Compare(name, s.accounts[i].Name) })
	if !ok {
		return nil, false
	}
	return &s.accounts[i], true
}

// Identify returns the identity of the key in the Authorization headers of a
// request. It returns ErrNoKey, ErrMalformed or ErrUnknownKey if they don't hold
// one key of an account.
func (s *Set) Identify(values []string) (Identity, error) {
	if len(values) == 0 {
		return Identity{}, ErrNoKey
	}
	if len(values) > 1 {
		return Identity{}, ErrMalformed
	}
	key, ok := bearerKey(values[0])
	if !ok {
		return Identity{}, ErrMalformed
	}
	if len(key) > MaxKeyBytes {
		return Identity{}, ErrUnknownKey
	}
	id := Identity{key: digestOf(key), version: s.version}
	if _, ok := s.byKey[id.key]; !ok {
		return Identity{}, ErrUnknownKey
	}
	return id, nil
}

// Resolve returns the account that has the key of an identity in this version. It
// returns false if the key was withdrawn, or for the zero Identity.
func (s *Set) Resolve(id Identity) (*Account, bool) {
	if id.version == 0 {
		return nil, false
	}
	i, ok := s.byKey[id.key]
	if !ok {
		return nil, false
	}
	return &s.accounts[i], true
}

// scheme is the authentication scheme of keys. Names of schemes are
// case-insensitive (RFC 9110, section 11.1).
const scheme = "Bearer"

// bearerKey returns the key in the value of an Authorization header: the scheme,
// one or more spaces, and the key.
func bearerKey(value string) (string, bool) {
	if len(value) <= len(scheme) || value[len(scheme)] != ' ' || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	key := strings.TrimLeft(value[len(scheme):], " ")
	return key, key != ""
}
