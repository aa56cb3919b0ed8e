// Package outernames checks that the names and log lines that leave the process are still in the code.
package outernames

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// TestOuterNamesAreStillThere guards against a rename that reaches the wire, the settings, stored data, /counters or what operators search
// their logs for. A name counts as present as a whole string literal, as the key of a struct tag, or as an exported field of a struct.
func TestOuterNamesAreStillThere(t *testing.T) {
	for list, inLogCalls := range map[string]bool{"docs/outer-names.txt": false, "docs/outer-lines.txt": true} {
		present := namesInCode(t, inLogCalls)
		names := readLines(t, filepath.Join(root, list))
		if len(names) == 0 {
			t.Errorf("%s is empty", list)
		}
		for _, name := range names {
			if !present[name] {
				t.Errorf("%s: %q is no longer in the code; put it back, or give the renamed field a tag with this name", list, name)
			}
		}
	}
}

func readLines(t *testing.T, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if line := strings.TrimSpace(scanner.Text()); line != "" {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}

// namesInCode collects string literals, keys of struct tags and exported struct fields from all Go files that are not tests. The texts of log
// calls are included only if inLogCalls is set, as an attribute of a log line may be spelt like a name of the wire.
func namesInCode(t *testing.T, inLogCalls bool) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok && !inLogCalls && isLogCall(call) {
					return false
				}
				return addNames(names, node)
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

func isLogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error", "Log", "LogAttrs":
		return true
	}
	return false
}

// addNames adds the names of one node, and reports whether to look at what is below it.
func addNames(names map[string]bool, node ast.Node) bool {
	switch node := node.(type) {
	case *ast.ImportSpec:
		return false
	case *ast.Field:
		addTagKeys(names, node.Tag)
	case *ast.StructType:
		for _, field := range node.Fields.List {
			for _, name := range field.Names {
				if name.IsExported() && keyOf(field.Tag) == "" {
					names[name.Name] = true
				}
			}
		}
	case *ast.BasicLit:
		if text, err := strconv.Unquote(node.Value); err == nil && node.Kind == token.STRING {
			names[text] = true
		}
	}
	return true
}

var encodings = []string{"json", "cbor", "xml"}

func addTagKeys(names map[string]bool, tag *ast.BasicLit) {
	if key := keyOf(tag); key != "" {
		names[key] = true
	}
}

// keyOf returns the name that a struct tag gives its field, empty if it gives none.
func keyOf(tag *ast.BasicLit) string {
	if tag == nil {
		return ""
	}
	text, err := strconv.Unquote(tag.Value)
	if err != nil {
		return ""
	}
	for _, encoding := range encodings {
		if key, _, _ := strings.Cut(reflect.StructTag(text).Get(encoding), ","); key != "" {
			return key
		}
	}
	return ""
}
