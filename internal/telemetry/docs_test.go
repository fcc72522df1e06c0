package telemetry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// pageRow matches the start of a row of the page's tables: a metric's name and
// type.
var pageRow = regexp.MustCompile("(?m)^\\| `knapweedreel_([a-z_]+)` \\| ([a-z]+) \\|")

// Guards against metrics that docs/metrics.md lacks or lists with another type,
// and against metrics on the page that the code does not create.
func TestMetricsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]string{}
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		if _, ok := documented[row[1]]; ok {
			t.Errorf("the page has two rows for %s", row[1])
		}
		documented[row[1]] = row[2]
	}
	used := map[string]string{}
	for _, folder := range []string{"../../internal", "../../cmd"} {
		if err := collectMetrics(t, folder, used); err != nil {
			t.Fatal(err)
		}
	}
	if len(used) == 0 {
		t.Fatal("found no metric in the code")
	}
	if diff := cmp.Diff(used, documented); diff != "" {
		t.Errorf("docs/metrics.md differs from the code (-code +page):\n%s", diff)
	}
}

// collectMetrics adds the metrics that the code below folder creates to found, a
// map of names to types. A name that is not a literal fails the test, since it
// cannot be compared with the page.
func collectMetrics(t *testing.T, folder string, found map[string]string) error {
	return filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if kind, argument, ok := metricCall(n); ok {
				name, err := strconv.Unquote(stringLiteral(argument))
				if err != nil {
					t.Errorf("%s: the name of a %s is not a literal", path, kind)
				}
				found[name] = kind
			}
			return true
		})
		return nil
	})
}

// metricCall returns the type of the metric that a call creates and the
// argument with its name.
func metricCall(n ast.Node) (kind string, name ast.Expr, ok bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", nil, false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", nil, false
	}
	switch method.Sel.Name {
	case "Counter", "Gauge", "Timer", "Histogram":
		return strings.ToLower(method.Sel.Name), call.Args[0], true
	}
	return "", nil, false
}

func stringLiteral(e ast.Expr) string {
	if l, ok := e.(*ast.BasicLit); ok && l.Kind == token.STRING {
		return l.Value
	}
	return ""
}
