package account

import (
	"cmp"
	"slices"
)

// Largest returns the names of the n accounts with the highest limits. Accounts
// without a limit are not included.
func (s *Set) Largest(n int) []string {
	var limited []*Account
	for i := range s.accounts {
		if s.accounts[i].Rate > 0 {
			limited = append(limited, &s.accounts[i])
		}
	}
	slices.SortFunc(limited, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, n)
	for _, a := range limited[:min(n, len(limited))] {
		names = append(names, a.Name)
	}
	return names
}
