package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// Default returns the values of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		Limits: Limits{
			Body:     Size(units.MiB),
			Payload:  Size(64 * units.KiB),
			Queue:    20000,
			MaxTasks: 5000,
		},
		Timing: Timing{
			Tick:         Duration(50 * time.Millisecond),
			Heartbeat:    Duration(500 * time.Millisecond),
			Election:     Duration(1500 * time.Millisecond),
			WorkerLease:  Duration(8 * time.Second),
			RenewHold:    Duration(2500 * time.Millisecond),
			Drift:        Duration(500 * time.Millisecond),
			MinionTTL:    Duration(2500 * time.Millisecond),
			SlotLease:    Duration(5 * time.Second),
			MaxRequest:   Duration(10 * time.Second),
			UnreadyGrace: Duration(time.Second),
			Shutdown:     Duration(20 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks a settings file and the token files that it names. Errors are of
// kind Invalid and name the file and, where there is one, the line and the key.
func Load(path string) (*Settings, error) {
	s, err := Read(path)
	if err != nil {
		return nil, err
	}
	if _, err := s.LoadTokens(); err != nil {
		return nil, err
	}
	return s, nil
}

// Read reads and checks a settings file as Load does, but doesn't read the token files. It
// is for programs that have no access to the daemons' tokens.
func Read(path string) (*Settings, error) {
	text, err := readBounded(path, tomlfile.MaxBytes)
	if err != nil {
		return nil, fault.New(fault.Invalid, "settings file: %v", err)
	}
	folder, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return nil, fault.New(fault.Invalid, "settings file %s: %v", path, err)
	}
	return Parse(path, text, folder)
}

// Parse reads and checks settings from text. Errors are of kind Invalid and refer to the
// text as name. Relative paths are resolved against folder.
func Parse(name string, text []byte, folder string) (*Settings, error) {
	s := Default()
	file, err := tomlfile.Decode(name, text, &s)
	if err != nil {
		return nil, err
	}
	if err := s.check(file); err != nil {
		return nil, err
	}
	s.resolvePaths(folder)
	s.warnings = s.findWarnings()
	return &s, nil
}

// readBounded reads a regular file of at most limit bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	// Reading a device may never end, and reading a pipe may block without end.
	if !info.Mode().IsRegular() {
		return nil, errors.Newf("%s isn't a regular file", path)
	}
	if info.Size() > limit {
		return nil, errors.Newf("%s has %d bytes, at most %d are allowed", path, info.Size(), limit)
	}
	return os.ReadFile(path)
}

// resolvePaths makes the relative paths of the settings absolute.
func (s *Settings) resolvePaths(folder string) {
	resolve := func(path *string) {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	for i := range s.Instances {
		resolve(&s.Instances[i].DataFolder)
	}
	for i := range s.Tokens.Customers {
		resolve(&s.Tokens.Customers[i].File)
	}
	for _, path := range []*string{&s.Tokens.Operator, &s.Tokens.Worker, &s.Tokens.Minion, &s.Tokens.Peer} {
		resolve(path)
	}
}
