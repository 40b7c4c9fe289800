package settings

import (
	"fmt"
	"slices"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Instance returns the instance with the id, or an error of kind NotFound.
func (s *Settings) Instance(id string) (*Instance, error) {
	ids := make([]string, 0, len(s.Instances))
	for i := range s.Instances {
		if s.Instances[i].ID == id {
			return &s.Instances[i], nil
		}
		ids = append(ids, s.Instances[i].ID)
	}
	return nil, fault.New(fault.NotFound, "the settings contain no instance %q; they contain %q", id, ids)
}

// DataCentres returns the names of the data centres, sorted.
func (s *Settings) DataCentres() []string {
	var names []string
	for _, instance := range s.Instances {
		if !slices.Contains(names, instance.DataCentre) {
			names = append(names, instance.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// InDataCentre returns the instances of a data centre in the file's order.
func (s *Settings) InDataCentre(dataCentre string) []Instance {
	return s.instancesWhere(func(i *Instance) bool { return i.DataCentre == dataCentre })
}

// ConfigVoters returns the voters of the configuration log in the file's order.
func (s *Settings) ConfigVoters() []Instance {
	return s.instancesWhere(func(i *Instance) bool { return i.ConfigVoter })
}

// CellMembers returns the voters of a data centre's log in the file's order:
// its own instances with a cell address, and its witnesses elsewhere.
func (s *Settings) CellMembers(dataCentre string) []Instance {
	return s.instancesWhere(func(i *Instance) bool {
		if i.Cell == "" {
			return false
		}
		return i.DataCentre == dataCentre || slices.Contains(i.WitnessFor, dataCentre)
	})
}

// instancesWhere returns the instances that match, in the file's order.
func (s *Settings) instancesWhere(match func(*Instance) bool) []Instance {
	var found []Instance
	for i := range s.Instances {
		if match(&s.Instances[i]) {
			found = append(found, s.Instances[i])
		}
	}
	return found
}

// Warnings returns a sentence for each setting that is valid but tolerates fewer
// failures than one may expect.
func (s *Settings) Warnings() []string { return slices.Clone(s.warnings) }

// findWarnings returns the warnings about the voters of all logs.
func (s *Settings) findWarnings() []string {
	var warnings []string
	warn := func(format string, args ...any) {
		warnings = append(warnings, fmt.Sprintf(format, args...))
	}
	for _, dataCentre := range s.DataCentres() {
		members := s.CellMembers(dataCentre)
		switch {
		case len(members) == 1:
			warn("data centre %q has a single voter: it commits nothing while that voter is down", dataCentre)
		case len(members)%2 == 0:
			warn("data centre %q has an even number of voters, %d: with a witness in another data centre it would tolerate one more loss", dataCentre, len(members))
		}
		if !slices.ContainsFunc(members, func(i Instance) bool { return i.DataFolder != "" }) {
			warn("data centre %q has no voter with a disk: a power failure of all its voters loses its accepted jobs", dataCentre)
		}
	}
	voters := s.ConfigVoters()
	if len(voters)%2 == 0 {
		warn("the configuration log has an even number of voters, %d", len(voters))
	}
	if !slices.ContainsFunc(voters, func(i Instance) bool { return i.DataFolder != "" }) {
		warn("no voter of the configuration log has a disk: a power failure of all voters loses the configuration")
	}
	return warnings
}
