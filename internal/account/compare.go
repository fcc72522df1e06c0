package account

import (
	"iter"

	"github.com/cockroachdb/errors"
)

// All iterates over the accounts, ordered by name.
func (s *Set) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		for i := range s.accounts {
			if !yield(&s.accounts[i]) {
				return
			}
		}
	}
}

// KeyCounts returns the number of different keys of each account that has keys.
func (s *Set) KeyCounts() map[string]int {
	counts := make(map[string]int)
	for _, i := range s.byKey {
		counts[s.accounts[i].Name]++
	}
	return counts
}

// KeyChange is the numbers of keys of an account that are in both of two sets, or
// in one of them.
type KeyChange struct{ Kept, Added, Removed int }

// CompareKeys returns the changes of the keys of all accounts that have keys in
// one of two sets of this process, by name. Either set may be nil. A key that moves
// to another account is removed from one and added to the other.
func CompareKeys(old, updated *Set) map[string]KeyChange {
	changes := make(map[string]KeyChange)
	count := func(s, other *Set, add func(c *KeyChange, inBoth bool)) {
		if s == nil {
			return
		}
		for id, i := range s.byKey {
			name, inBoth := s.accounts[i].Name, false
			if other != nil {
				j, ok := other.byKey[id]
				inBoth = ok && other.accounts[j].Name == name
			}
			c := changes[name]
			add(&c, inBoth)
			changes[name] = c
		}
	}
	count(old, updated, func(c *KeyChange, inBoth bool) {
		if inBoth {
			c.Kept++
		} else {
			c.Removed++
		}
	})
	count(updated, old, func(c *KeyChange, inBoth bool) {
		if !inBoth {
			c.Added++
		}
	})
	return changes
}

// Problem is an error in a definition.
type Problem struct {
	Index int // of the definition
	Err   error
}

// Problems returns why NewSet rejects definitions: at most one error of each
// account itself, and each key that another account has as well. Errors contain no
// keys.
func Problems(definitions []Definition) []Problem {
	var problems []Problem
	byName := make(map[string]bool, len(definitions))
	byKey := make(map[digest]int)
	for i := range definitions {
		d := &definitions[i]
		if err := d.validate(); err != nil {
			problems = append(problems, Problem{i, err})
			continue
		}
		if byName[d.Name] {
			problems = append(problems, Problem{i, errors.Newf("two accounts have the name %q", d.Name)})
		}
		byName[d.Name] = true
		for n, key := range d.Keys {
			id := digestOf(string(key))
			other, ok := byKey[id]
			if ok && other != i {
				problems = append(problems, Problem{i, errors.Newf("key %d is also one of account %q", n+1, definitions[other].Name)})
				continue
			}
			byKey[id] = i
		}
	}
	return problems
}
