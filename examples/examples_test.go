package examples_test

import (
	"io/fs"
	"path"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/examples"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/jobfile"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// Numbers that hold for each example deployment.
const (
	cellMembers = 3 // members of each data centre's log
	jobFiles    = 6
)

// deployments holds the expected numbers of data centres, instances, configuration voters
// and data folders of each example deployment.
var deployments = []struct {
	name                                        string
	dataCentres, instances, voters, dataFolders int
}{
	{"rackwise", 3, 9, 3, 3},
	{"himalaya", 4, 8, 5, 4},
}

// A change of an example's settings makes them invalid, causes a warning, or removes a
// member of a data centre's log.
func TestSettingsAreValid(t *testing.T) {
	for _, d := range deployments {
		s, err := settings.Load(filepath.Join(d.name, d.name+".toml"))
		must.NoError(t, err)
		must.Eq(t, d.name, s.Deployment)
		must.Len(t, d.dataCentres, s.DataCentres())
		must.Len(t, d.instances, s.Instances)
		must.Len(t, d.voters, s.ConfigVoters())
		must.SliceEmpty(t, s.Warnings())
		dataFolders := 0
		for _, instance := range s.Instances {
			if instance.DataFolder != "" {
				dataFolders++
			}
		}
		must.Eq(t, d.dataFolders, dataFolders)
		for _, dataCentre := range s.DataCentres() {
			must.Len(t, cellMembers, s.CellMembers(dataCentre))
		}
	}
}

// Two deployments with a common address can't run on one machine at the same time.
func TestDeploymentsUseDifferentAddresses(t *testing.T) {
	used := make(map[string]string)
	for _, d := range deployments {
		s, err := settings.Read(filepath.Join(d.name, d.name+".toml"))
		must.NoError(t, err)
		for _, i := range s.Instances {
			for _, address := range []string{i.Entry, i.EntryAdmin, i.Cell, i.CellAdmin} {
				must.MapNotContainsKey(t, used, address)
				used[address] = i.ID
			}
		}
	}
}

// A customer has a token in the settings but no quota in the configuration, or the other
// way round.
func TestConfigNamesEveryCustomer(t *testing.T) {
	for _, d := range deployments {
		text, err := fs.ReadFile(examples.Files, path.Join(d.name, "config.toml"))
		must.NoError(t, err)
		document, err := conf.Parse(string(text))
		must.NoError(t, err)
		s, err := settings.Read(filepath.Join(d.name, d.name+".toml"))
		must.NoError(t, err)
		must.Len(t, len(s.Tokens.Customers), document.Customers)
		for _, c := range s.Tokens.Customers {
			_, ok := document.Customer(c.Name)
			must.True(t, ok, must.Sprint(c.Name))
		}
	}
}

// A sample job file is invalid, is missing, or names its job differently from the file.
func TestJobFilesAreValid(t *testing.T) {
	for _, d := range deployments {
		paths, err := fs.Glob(examples.Files, path.Join(d.name, "jobs", "*.toml"))
		must.NoError(t, err)
		must.Len(t, jobFiles, paths)
		for _, p := range paths {
			text, err := fs.ReadFile(examples.Files, p)
			must.NoError(t, err)
			spec, err := jobfile.ParseNamed(p, text, time.Now())
			must.NoError(t, err)
			must.Eq(t, path.Base(p), spec.Name+".toml")
		}
	}
}
