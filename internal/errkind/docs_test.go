package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// errorsPage documents the error kinds for callers and operators.
const errorsPage = "../../docs/errors.md"

// Guards against a page that differs from what callers receive: it must have
// the same rows as the table, in the same order.
func TestErrorsPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for _, r := range Table {
		retryAfter := ""
		if r.RetryAfter > 0 {
			retryAfter = fmt.Sprint(int(r.RetryAfter / time.Second))
		}
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s | %s |", r.Kind, r.Status, r.Run, retryAfter, r.Meaning))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s differs from the table (- table, + page):\n%s", errorsPage, diff)
	}
}

// Guards against a kind with two rows: Lookup would ignore the first one.
func TestTableHasEachKindOnce(t *testing.T) {
	if len(responseByKind) != len(Table) {
		t.Errorf("%d kinds in a table of %d rows", len(responseByKind), len(Table))
	}
}
