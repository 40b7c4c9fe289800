package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"net/netip"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// Environment variables. The first three give the defaults of global flags; the others
// can turn colours off.
const (
	envSettings  = "BILBERRY_SETTINGS"
	envEntry     = "BILBERRY_ENTRY"
	envTokenFile = "BILBERRY_TOKEN_FILE"
	envNoColour  = "NO_COLOR"
	envTerminal  = "TERM"
)

// defaultTimeout is the default of --timeout.
const defaultTimeout = 30 * time.Second

// globals are the flags that every command of this package accepts.
type globals struct {
	settings  string
	entry     string
	tokenFile string
	customer  string
	json      bool
	noColour  bool
	timeout   time.Duration
}

// bind adds the global flags to f, with their present values as defaults.
func (g *globals) bind(f *flag.FlagSet) {
	f.StringVar(&g.settings, "settings", g.settings, "settings `file` with the entry instances and token files ($"+envSettings+")")
	f.StringVar(&g.entry, "entry", g.entry, "entry `addresses`, ip:port[,ip:port], tried one after the other ($"+envEntry+")")
	f.StringVar(&g.tokenFile, "token-file", g.tokenFile, "`file` that holds the bearer token ($"+envTokenFile+")")
	f.StringVar(&g.customer, "customer", g.customer, "with --settings: act as this customer (`name`) instead of as operator")
	f.BoolVar(&g.json, "json", g.json, "print JSON for programs")
	f.BoolVar(&g.noColour, "no-colour", g.noColour, "no colours, not even on a terminal ($"+envNoColour+")")
	f.DurationVar(&g.timeout, "timeout", g.timeout, "give up after this `time`")
}

// session is one invocation with its global flags.
type session struct {
	app     *App
	globals globals
}

// newSession returns a session whose flags have their defaults from the environment.
func newSession(a *App) *session {
	return &session{app: a, globals: globals{
		settings:  a.Getenv(envSettings),
		entry:     a.Getenv(envEntry),
		tokenFile: a.Getenv(envTokenFile),
		timeout:   defaultTimeout,
	}}
}

// run executes one command and returns the exit code.
func (s *session) run(ctx context.Context, c *command, args []string) int {
	if s.globals.timeout <= 0 {
		return s.fail(withUsageHint(fault.Field("--timeout", "must be above zero"), c.name))
	}
	if err := c.run(ctx, s, args); err != nil {
		if fault.Is(err, fault.Invalid) {
			err = withUsageHint(err, c.name)
		}
		return s.fail(err)
	}
	return 0
}

// withTimeout returns a context that ends after --timeout.
func (s *session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.globals.timeout)
}

// client returns a client for the entry instances that the flags or the settings
// name.
func (s *session) client() (*client, error) {
	var loaded *settings.Settings
	if s.globals.settings != "" {
		var err error
		if loaded, err = settings.Read(s.globals.settings); err != nil {
			return nil, err
		}
	}
	entries, err := s.entryAddresses(loaded)
	if err != nil {
		return nil, err
	}
	token, err := s.token(loaded)
	if err != nil {
		return nil, err
	}
	return newClient(entries, token), nil
}

// entryAddresses returns the addresses of --entry, or those in the settings.
func (s *session) entryAddresses(loaded *settings.Settings) ([]string, error) {
	if s.globals.entry != "" {
		return parseEntries(s.globals.entry)
	}
	if loaded == nil {
		return nil, withHint(fault.New(fault.Invalid, "no entry instance is named"),
			"give --entry ip:port or --settings file, or set $"+envEntry+" or $"+envSettings)
	}
	var entries []string
	for _, instance := range loaded.Instances {
		entries = append(entries, instance.Entry)
	}
	return entries, nil
}

// maxEntries is the largest number of addresses that --entry accepts.
const maxEntries = 64

// parseEntries splits and checks the value of --entry.
func parseEntries(addresses string) ([]string, error) {
	entries := strings.Split(addresses, ",")
	if len(entries) > maxEntries {
		return nil, fault.Field("--entry", "names %d addresses, at most %d are allowed", len(entries), maxEntries)
	}
	seen := make(map[string]bool)
	for i, entry := range entries {
		entry = strings.TrimSpace(entry)
		address, err := netip.ParseAddrPort(entry)
		if err != nil || address.Port() == 0 {
			return nil, fault.Field("--entry", "%q isn't an IP address with a port, such as \"10.0.0.1:7400\"", shorten(entry))
		}
		if seen[entry] {
			return nil, fault.Field("--entry", "%q is named twice", entry)
		}
		seen[entry] = true
		entries[i] = entry
	}
	return entries, nil
}

// token returns the token of --token-file, or that of the operator or --customer in the
// settings.
func (s *session) token(loaded *settings.Settings) (string, error) {
	path := s.globals.tokenFile
	if path == "" && loaded != nil {
		var err error
		if path, err = s.tokenPath(loaded); err != nil {
			return "", err
		}
	}
	if path == "" {
		return "", withHint(fault.New(fault.Invalid, "no token file is named"),
			"give --token-file file, or set $"+envTokenFile)
	}
	return settings.ReadToken(path)
}

// tokenPath returns the path of the token file that the settings name for --customer, or
// for the operator if --customer isn't given.
func (s *session) tokenPath(loaded *settings.Settings) (string, error) {
	if s.globals.customer == "" {
		return loaded.Tokens.Operator, nil
	}
	for _, customer := range loaded.Tokens.Customers {
		if customer.Name == s.globals.customer {
			return customer.File, nil
		}
	}
	return "", fault.Field("--customer", "the settings contain no customer %q", shorten(s.globals.customer))
}

// requestIDBytes is the number of random bytes in a new request id.
const requestIDBytes = 16

// requestID returns the id that --request-id gives, or a new random id.
func requestID(given string) (string, error) {
	if given != "" {
		return given, checkArgument("--request-id", given)
	}
	random := make([]byte, requestIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	return "cli-" + hex.EncodeToString(random), nil
}

// requestIDFlag adds the flag --request-id to f, which stores its value in into.
func requestIDFlag(f *flag.FlagSet, into *string) {
	f.StringVar(into, "request-id", "", "`id` of an earlier call whose outcome is unknown; sends that call again")
}
