package bilberryferry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// corePackages are the packages that other programs embed and that simulations in tests call
// step by step.
var corePackages = []string{"admission", "codec", "customer", "resource", "dispatch", "fleet", "hlc", "lease", "placement", "quota", "maintenance", "replica", "routing", "speed", "workerindex", "workflow", "internal/state"}

// forbiddenImports give access to sockets, files and the operating system.
var forbiddenImports = []string{"net", "os", "syscall", "io/fs"}

const module = "github.com/bilberryferry/bilberryferry/"

// Guards against core packages that do I/O, read a clock or start a goroutine. A simulation
// could then no longer be reproduced from its seed, and failures could occur that the embedding
// program doesn't control.
func TestCorePackagesDoNoIO(t *testing.T) {
	for _, core := range corePackages {
		for name, file := range parseCore(t, core) {
			for _, imported := range file.Imports {
				path, err := strconv.Unquote(imported.Path.Value)
				must.NoError(t, err)
				must.SliceNotContains(t, forbiddenImports, path, must.Sprint(name))
				must.False(t, strings.HasPrefix(path, "net/"), must.Sprint(name, path))
				isInternal := strings.HasPrefix(path, module+"internal/") || strings.HasPrefix(path, module+"cmd/")
				must.False(t, isInternal && !strings.HasPrefix(core, "internal/"), must.Sprint(name, path))
			}
			ast.Inspect(file, func(n ast.Node) bool {
				_, starts := n.(*ast.GoStmt)
				must.False(t, starts, must.Sprintf("%s starts a goroutine", name))
				if selector, ok := n.(*ast.SelectorExpr); ok {
					must.False(t, readsClock(selector), must.Sprintf("%s reads the clock", name))
				}
				return true
			})
		}
	}
}

// platformFolder is the only folder whose code may contain names of the platform's messages.
const platformFolder = "platform/"

// platformNames are names that occur in the platform's messages and nowhere else in the
// module. Names that the module also uses for something of its own aren't listed.
var platformNames = []string{
	"run-start", "run-stop", "/-/hold", "/-/advise", "/-/config", "/-/instances", "/-/readiness", "wave-start", "wave-get",
	"/-/machines", "/-/pace", "machine-move", "machine-upkeep", "X-Holder-Id", "max_count", "duration_s", "next_token", "page_token",
	"X-Expect-Instance", "X-Fencing-Token", "X-Deadline-Ms", "heartbeat_addr", "seq_no", "wall_clock_ms", "last_seen",
	"depends_on", "anti_affinity", "data_rack", "may_miss", "path_prefix", "stretch_factor", "deadline_ms",
	"start_at_ms", "hold_ms", "repeat_count", "drain_remaining_ms",
}

// Guards against a scheduler that depends on one platform: only the platform folder may contain
// the platform's names, and only the programs under cmd may import it.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	must.NoError(t, fs.WalkDir(os.DirFS("."), ".", func(path string, entry fs.DirEntry, err error) error {
		must.NoError(t, err)
		generated := strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go")
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || generated || path == "boundary_test.go" {
			return nil
		}
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		if strings.HasPrefix(path, platformFolder) {
			return nil
		}
		for _, name := range platformNames {
			must.False(t, strings.Contains(string(text), `"`+name) || strings.Contains(string(text), name+`"`),
				must.Sprintf("%s contains the platform's name %s", path, name))
		}
		if !strings.HasPrefix(path, "cmd/") {
			must.False(t, strings.Contains(string(text), module+`platform"`), must.Sprintf("%s imports package platform", path))
		}
		return nil
	}))
}

// maxPlatformLines bounds the lines of the platform folder without its tests.
const maxPlatformLines = 1500

// Guards against scheduling logic in package platform, which only translates messages, by a
// bound on the size of the package.
func TestPlatformFolderStaysSmall(t *testing.T) {
	lines := 0
	entries, err := fs.ReadDir(os.DirFS("."), "platform")
	must.NoError(t, err)
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		text, err := os.ReadFile(platformFolder + entry.Name())
		must.NoError(t, err)
		lines += strings.Count(string(text), "\n")
	}
	must.LessEq(t, maxPlatformLines, lines)
}

// readsClock reports whether a selector is a function of package time that reads the clock or
// sets a timer.
func readsClock(selector *ast.SelectorExpr) bool {
	packageName, ok := selector.X.(*ast.Ident)
	if !ok || packageName.Name != "time" {
		return false
	}
	switch selector.Sel.Name {
	case "Now", "Since", "Until", "Sleep", "After", "NewTimer", "NewTicker", "Tick", "AfterFunc":
		return true
	}
	return false
}

// parseCore parses the files of a package, without its tests, and returns them by their paths.
func parseCore(t *testing.T, folder string) map[string]*ast.File {
	entries, err := fs.ReadDir(os.DirFS(folder), ".")
	must.NoError(t, err)
	files := make(map[string]*ast.File)
	for _, entry := range entries {
		name := folder + "/" + entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		must.NoError(t, err)
		files[name] = file
	}
	return files
}
