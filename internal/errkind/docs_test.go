package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// errorsPage is the page for callers and operators.
const errorsPage = "../../docs/errors.md"

// Guards against a page that differs from what callers receive: each row of
// the table must stand in the page, in the same order, and nothing else.
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
	for _, a := range Table {
		retry := ""
		if a.Retry > 0 {
			retry = fmt.Sprint(int(a.Retry / time.Second))
		}
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s | %s |", a.Kind, a.Status, a.Run, retry, a.Meaning))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s differs from the table (- table, + page):\n%s", errorsPage, diff)
	}
}

// Guards against a kind that is listed twice, which would hide one answer.
func TestTableHasEachKindOnce(t *testing.T) {
	if len(byKind) != len(Table) {
		t.Errorf("%d kinds in a table of %d rows", len(byKind), len(Table))
	}
}
