package remedy

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

type testError struct {
	remedy string
	err    error
}

func (f testError) Error() string  { return "fault" }
func (f testError) Remedy() string { return f.remedy }
func (f testError) Unwrap() error  { return f.err }

func TestOf(t *testing.T) {
	plain, a, b := errors.New("plain"), testError{remedy: "do a"}, testError{remedy: "do b"}
	for _, c := range []struct {
		err  error
		want string
	}{
		{nil, ""},
		{plain, ""},
		{a, "do a"},
		{fmt.Errorf("round it: %w", a), "do a"},
		{testError{"do b", a}, "do b"},
		{testError{"", a}, "do a"},
		{errors.Join(plain, fmt.Errorf("x: %w", a), b, a), "do a; do b"},
		{fmt.Errorf("%w and %w", b, a), "do b; do a"},
	} {
		if got := Of(c.err); got != c.want {
			t.Errorf("remedy of %v: %q, want %q", c.err, got, c.want)
		}
	}
}

// typesWithRemedy returns the exported types of a source file that have the method Remedy() string, as package.Type.
func typesWithRemedy(name string, source any) (all []string, err error) {
	file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Recv == nil || f.Name.Name != "Remedy" || f.Type.Params.NumFields() > 0 || f.Type.Results.NumFields() != 1 {
			continue
		}
		of := f.Recv.List[0].Type
		if star, ok := of.(*ast.StarExpr); ok {
			of = star.X
		}
		if id, ok := of.(*ast.Ident); ok && id.IsExported() {
			all = append(all, file.Name.Name+"."+id.Name)
		}
	}
	return all, nil
}

// compare returns the types that have no row in the page's table, and the types of rows that are not in the source. A row begins with its type.
func compare(page string, types map[string]bool) (missing, stale []string) {
	named := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9]+\\.[A-Z][A-Za-z0-9]*)` \\|").FindAllStringSubmatch(page, -1) {
		if named[m[1]] = true; !types[m[1]] {
			stale = append(stale, m[1])
		}
	}
	for name := range maps.Keys(types) {
		if !named[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing, stale
}

// docs/operations/errors.md has a row for every exported error type with a remedy, and for no other.
func TestErrorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	types := map[string]bool{}
	err = filepath.WalkDir("../../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		all, err := typesWithRemedy(path, nil)
		for _, name := range all {
			types[name] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	missing, stale := compare(string(page), types)
	if len(types) < 2 || len(missing) > 0 || len(stale) > 0 {
		t.Errorf("%d types have a remedy; the page has no row for %v, and rows for %v, which are not in the source", len(types), missing, stale)
	}
}

// The check finds a type without a row and a row without a type.
func TestErrorsPageCheck(t *testing.T) {
	all, err := typesWithRemedy("x.go", "package x\nfunc (e *Lost) Remedy() string { return e.r }\nfunc (Held) Remedy() string { return e }\n"+
		"func (own) Remedy() string { return e }\nfunc (Other) Remedy(n int) string { return e }\nfunc Remedy() string { return e }")
	if err != nil || !slices.Equal(all, []string{"x.Lost", "x.Held"}) {
		t.Fatalf("found types %v, error %v", all, err)
	}
	missing, stale := compare("| `x.Held` | held | wait |\n| `x.Gone` | gone | mend |", map[string]bool{"x.Lost": true, "x.Held": true})
	if !slices.Equal(missing, []string{"x.Lost"}) || !slices.Equal(stale, []string{"x.Gone"}) {
		t.Errorf("types without a row %v, rows without a type %v", missing, stale)
	}
}
