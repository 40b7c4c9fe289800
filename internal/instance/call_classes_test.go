package instance

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/overload"
)

// Guards against a new method that gets its class by accident.
func TestEveryMethodHasAClass(t *testing.T) {
	methods := map[string]bool{}
	for _, path := range []string{"../control/calls.go", "../carrier/messages.go", "../member/join.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		must.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && strings.HasPrefix(spec.Names[0].Name, "Method") {
				method, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
				must.NoError(t, err)
				methods[method] = true
			}
			return true
		})
	}
	must.MapLen(t, len(methods), callClasses)
	for method := range methods {
		must.MapContainsKey(t, callClasses, method)
	}
	must.Eq(t, overload.ClassWork, callClass("unknown"))
}
