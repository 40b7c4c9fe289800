package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

func checkSettingsCommand() *command {
	var printAll, noTokens bool
	return &command{
		name:        "check-settings",
		synopsis:    "Check a settings file and print every setting",
		usage:       "[--print] [file]",
		description: "Without a file argument it checks the file of --settings. It calls no instance.",
		example:     "bilberry check-settings --print bilberry.toml",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&printAll, "print", false, "print all settings with their defaults")
			f.BoolVar(&noTokens, "no-tokens", false, "don't read the token files")
		},
		run: func(_ context.Context, s *session, args []string) error {
			if len(args) == 0 && s.globals.settings != "" {
				args = []string{s.globals.settings}
			}
			if len(args) != 1 {
				return fault.New(fault.Invalid, "give one settings file")
			}
			return s.checkSettings(args[0], printAll, noTokens)
		},
	}
}

// checkedSettings is the JSON output of check-settings.
type checkedSettings struct {
	Deployment  string   `json:"deployment"`
	Instances   int      `json:"instances"`
	DataCentres []string `json:"data_centres"`
	Warnings    []string `json:"warnings"`
}

func (s *session) checkSettings(path string, printAll, noTokens bool) error {
	load := settings.Load
	if noTokens {
		load = settings.Read
	}
	loaded, err := load(path)
	if err != nil {
		return err
	}
	if s.globals.json {
		return json.NewEncoder(s.app.Stdout).Encode(checkedSettings{
			Deployment:  loaded.Deployment,
			Instances:   len(loaded.Instances),
			DataCentres: loaded.DataCentres(),
			Warnings:    append([]string{}, loaded.Warnings()...),
		})
	}
	for _, warning := range loaded.Warnings() {
		s.warn("%s", warning)
	}
	if printAll {
		return loaded.Print(s.app.Stdout)
	}
	fmt.Fprintf(s.app.Stdout, "%s is valid: %d instances in %d data centres\n", path, len(loaded.Instances), len(loaded.DataCentres()))
	return nil
}

// buildVersion is the JSON output of the version command.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func versionCommand() *command {
	return &command{
		name:     "version",
		synopsis: "Print the version of this program",
		example:  "bilberry version --json",
		run: func(_ context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			v := readVersion()
			if s.globals.json {
				return json.NewEncoder(s.app.Stdout).Encode(v)
			}
			modified := ""
			if v.Modified {
				modified = ", modified"
			}
			_, err := fmt.Fprintf(s.app.Stdout, "%s %s (revision %s%s), %s, %s\n", programName, v.Version, v.Revision, modified, v.Go, v.Platform)
			return err
		},
	}
}

// readVersion returns the version information that the Go tool has embedded in the
// program.
func readVersion() buildVersion {
	v := buildVersion{Version: "unknown", Revision: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	if info.Main.Version != "" {
		v.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
