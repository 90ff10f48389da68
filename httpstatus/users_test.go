package httpstatus

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// uncheckedDirs hold test programs, which read the responses of this project's own processes.
var uncheckedDirs = []string{"standin", "review", "measure", "tools", "rpc", ".git", "platform/platformtest"}

// checkedTransports are the functions that make a checked client of an http.Transport.
var checkedTransports = map[string]bool{
	"httpstatus.NewTransport": true, "httpstatus.NewClient": true, "attemptconn.NewClient": true, "NewTransport": true,
}

// Guards against a client whose responses are not checked: each transport is passed to a function that checks them, and
// each client has such a transport.
func TestAllClientsCheckResponses(t *testing.T) {
	transports := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel("..", path)
		if entry.IsDir() {
			for _, dir := range uncheckedDirs {
				if filepath.ToSlash(name) == dir {
					return filepath.SkipDir
				}
			}
			return nil
		}
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			transports += checkClients(t, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if transports == 0 {
		t.Error("no transport was found")
	}
}

// checkClients checks the clients in a file and returns the number of its transports.
func checkClients(t *testing.T, path string) (transports int) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	checked := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if len(n.Args) == 1 && checkedTransports[nameOf(n.Fun)] {
				if address, ok := n.Args[0].(*ast.UnaryExpr); ok {
					checked[address.X] = true
				}
			}
		case *ast.CompositeLit:
			switch nameOf(n.Type) {
			case "http.Transport":
				transports++
				if !checked[n] {
					t.Errorf("%s: the transport is not checked; pass it to NewTransport", set.Position(n.Pos()))
				}
			case "http.Client":
				if !setsTransport(n) {
					t.Errorf("%s: the client uses the default transport; use NewClient", set.Position(n.Pos()))
				}
			}
		case *ast.SelectorExpr:
			switch nameOf(n) {
			case "http.DefaultClient", "http.DefaultTransport", "http.Get", "http.Head", "http.Post", "http.PostForm", "http.ReadResponse":
				t.Errorf("%s: the response is not checked; use NewClient", set.Position(n.Pos()))
			}
		}
		return true
	})
	return transports
}

// nameOf returns the name of an identifier or of one in a package, and "" for any other expression.
func nameOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		if pkg, ok := e.X.(*ast.Ident); ok {
			return pkg.Name + "." + e.Sel.Name
		}
	}
	return ""
}

func setsTransport(client *ast.CompositeLit) bool {
	for _, element := range client.Elts {
		if field, ok := element.(*ast.KeyValueExpr); ok && nameOf(field.Key) == "Transport" {
			return true
		}
	}
	return false
}
