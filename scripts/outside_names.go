//go:build ignore

// Lists the names that leave the process, one a line, for a comparison of two
// states of the tree: go run scripts/outside_names.go > FILE.
//
//	text       string literals without spaces: wire names, keys, codes, events, flags
//	tag        tags of struct fields
//	gob, json  fields that are encoded under their Go name
//	rpc        methods that net/rpc calls
//	exit       exit codes
//	test       tests that a page, a script or KNOWN-RED.txt names
//	message    texts with spaces that a test or a page of docs/ repeats
//
// A number in front of a line counts its places.
package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"log"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/tools/go/packages"
)

const module = "github.com/rhubarbsill/rhubarbsill"

type lister struct {
	count map[string]int
	seen  map[string]bool // encoding and type
	pages string          // text of the pages and tests
}

func (l *lister) add(kind, name string) { l.count[kind+" "+name]++ }

func main() {
	log.SetFlags(0)
	l := &lister{count: map[string]int{}, seen: map[string]bool{}}
	fset := token.NewFileSet()
	list, err := packages.Load(&packages.Config{Fset: fset, Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps}, "./...")
	if err != nil {
		log.Fatal(err)
	}
	if packages.PrintErrors(list) > 0 {
		os.Exit(1)
	}
	l.readPages()
	for _, p := range list {
		for _, file := range p.Syntax {
			l.literals(file)
			l.calls(p, file)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.count)) {
		fmt.Printf("%4d %s\n", l.count[name], name)
	}
}

func (l *lister) readPages() {
	var text strings.Builder
	tests := regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]+`)
	err := filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == ".git" || path == "journal" || path == "bin" || path == "target") {
			return filepath.SkipDir
		}
		page := strings.HasSuffix(path, ".md") || strings.HasPrefix(path, "scripts/") || strings.HasPrefix(path, "deploy/") || path == "KNOWN-RED.txt"
		if d.IsDir() || !page && !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		content, err := os.ReadFile(path)
		text.Write(content)
		if page && path != "scripts/outside_names.go" {
			for _, name := range tests.FindAllString(string(content), -1) {
				l.add("test", name)
			}
		}
		return err
	})
	if err != nil {
		log.Fatal(err)
	}
	l.pages = text.String()
}

func (l *lister) literals(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if n.Tag != nil {
				l.add("tag", n.Tag.Value)
			}
			return true
		case *ast.BasicLit:
			if n.Kind != token.STRING {
				return false
			}
			text, err := strconv.Unquote(n.Value)
			if err != nil || text == "" || strings.HasPrefix(n.Value, "`json:") {
				return false
			}
			if !strings.ContainsAny(text, " \n") {
				l.add("text", strconv.Quote(text))
			} else if len(text) >= 8 && strings.Contains(l.pages, text) {
				l.add("message", strconv.Quote(text))
			}
		}
		return true
	})
}

// calls finds the types that are encoded, the methods of net/rpc and the exit codes.
func (l *lister) calls(p *packages.Package, file *ast.File) {
	info := p.TypesInfo
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.IndexExpr: // peer.NewTransport[M], peer.Transport[M]
			if t := info.TypeOf(n.Index); t != nil && strings.Contains(types.ExprString(n.X), "Transport") {
				l.fields("gob", t)
			}
		case *ast.FuncDecl:
			if n.Recv != nil && strings.Contains(types.ExprString(n.Recv.List[0].Type), "service[") {
				l.add("rpc", n.Name.Name)
				signature := info.Defs[n.Name].Type().(*types.Signature)
				for v := range signature.Params().Variables() {
					l.fields("gob", v.Type())
				}
			}
		case *ast.CallExpr:
			l.call(info, n)
		}
		return true
	})
}

func (l *lister) call(info *types.Info, call *ast.CallExpr) {
	function := types.ExprString(call.Fun)
	if function == "os.Exit" {
		l.add("exit", types.ExprString(call.Args[0]))
	}
	signature, ok := info.TypeOf(call.Fun).(*types.Signature)
	if !ok || strings.HasPrefix(function, "fmt.") || strings.HasPrefix(function, "zap.") || strings.HasPrefix(function, "errorx.") {
		return
	}
	kind := "json"
	if strings.Contains(function, "ncoder") || strings.Contains(function, "ecoder") || strings.HasPrefix(function, "json.") {
		if selector, ok := call.Fun.(*ast.SelectorExpr); ok && strings.Contains(fmt.Sprint(info.TypeOf(selector.X)), "gob.") {
			kind = "gob"
		}
	}
	for i, argument := range call.Args {
		parameter := min(i, signature.Params().Len()-1)
		if parameter < 0 {
			return
		}
		if t, ok := signature.Params().At(parameter).Type().Underlying().(*types.Interface); ok && t.Empty() {
			l.fields(kind, info.TypeOf(argument))
		}
	}
}

// fields lists the untagged exported fields that an encoder reaches from t.
func (l *lister) fields(kind string, t types.Type) {
	switch t := t.(type) {
	case *types.Pointer:
		l.fields(kind, t.Elem())
	case *types.Slice:
		l.fields(kind, t.Elem())
	case *types.Array:
		l.fields(kind, t.Elem())
	case *types.Map:
		l.fields(kind, t.Key())
		l.fields(kind, t.Elem())
	case *types.Alias:
		l.fields(kind, types.Unalias(t))
	case *types.Named:
		object := t.Obj()
		if object.Pkg() == nil || !strings.HasPrefix(object.Pkg().Path(), module) || l.seen[kind+t.String()] {
			return
		}
		l.seen[kind+t.String()] = true
		place := strings.TrimPrefix(object.Pkg().Path(), module+"/")
		l.structFields(kind, place, t.Underlying())
	case *types.Struct:
		l.structFields(kind, "literal", t)
	}
}

func (l *lister) structFields(kind, place string, t types.Type) {
	s, ok := t.(*types.Struct)
	if !ok {
		l.fields(kind, t)
		return
	}
	for i := range s.NumFields() {
		f := s.Field(i)
		if !f.Exported() {
			continue
		}
		if kind == "gob" || !strings.Contains(s.Tag(i), "json:") {
			l.add(kind, place+" "+f.Name())
		}
		l.fields(kind, f.Type())
	}
}
