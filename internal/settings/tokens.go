package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Role determines which calls the holder of a bearer token may make.
type Role uint8

// Roles of token holders.
const (
	Customer Role = iota + 1
	Operator
	Worker
	Minion
	Peer
)

var roleNames = [...]string{"none", "customer", "operator", "worker", "minion", "peer"}

// String returns the role's name in lower case.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return roleNames[0]
}

// Identity is the holder of a token. Customer is the customer's name in the role
// Customer and empty otherwise.
type Identity struct {
	Role     Role
	Customer string
}

// Credential is a bearer token with the identity of its holder.
type Credential struct {
	Token    string
	Identity Identity
}

// TokenSet holds the tokens of a deployment. Formatting it reveals none of them.
type TokenSet struct {
	entries []tokenEntry
	// byRole holds the tokens of the roles other than Customer.
	byRole map[Role]string
}

// tokenEntry is the hash of a token with its holder.
type tokenEntry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// maxTokenBytes bounds the size of a token file, which holds a single line.
const maxTokenBytes = 4096

// LoadTokens reads the token files. It returns an error of kind Invalid when a file is
// missing, empty or has more than one line, and when two identities share a token.
func (s *Settings) LoadTokens() (*TokenSet, error) {
	var credentials []Credential
	add := func(path, key string, identity Identity) error {
		token, err := ReadToken(path)
		if err != nil {
			return fault.Field(key, "%s", fault.From(err).Message)
		}
		credentials = append(credentials, Credential{Token: token, Identity: identity})
		return nil
	}
	for _, customer := range s.Tokens.Customers {
		identity := Identity{Role: Customer, Customer: customer.Name}
		if err := add(customer.File, "tokens.customer.file", identity); err != nil {
			return nil, err
		}
	}
	roles := []struct {
		path, key string
		role      Role
	}{
		{s.Tokens.Operator, "tokens.operator_file", Operator},
		{s.Tokens.Worker, "tokens.worker_file", Worker},
		{s.Tokens.Minion, "tokens.minion_file", Minion},
		{s.Tokens.Peer, "tokens.peer_file", Peer},
	}
	for _, r := range roles {
		if err := add(r.path, r.key, Identity{Role: r.role}); err != nil {
			return nil, err
		}
	}
	return NewTokenSet(credentials)
}

// ReadToken reads one token from a file of a single line, without surrounding white space.
// Errors are of kind Invalid.
func ReadToken(path string) (string, error) {
	text, err := readBounded(path, maxTokenBytes)
	if err != nil {
		return "", fault.New(fault.Invalid, "token file: %v", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", fault.New(fault.Invalid, "token file %s is empty", path)
	}
	if !isTokenText(token) {
		return "", fault.New(fault.Invalid, "token file %s must hold one line of printable characters without spaces", path)
	}
	return token, nil
}

// isTokenText reports whether a token consists of printable ASCII without spaces.
func isTokenText(token string) bool {
	for _, c := range []byte(token) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// NewTokenSet returns a set of the credentials. It returns an error of kind Invalid when a
// token isn't printable ASCII without spaces, and when two credentials share a token,
// because such a token wouldn't identify its holder.
func NewTokenSet(credentials []Credential) (*TokenSet, error) {
	set := &TokenSet{byRole: make(map[Role]string)}
	seen := make(map[string]Identity)
	for _, c := range credentials {
		if c.Token == "" || !isTokenText(c.Token) {
			return nil, fault.New(fault.Invalid, "the token of %s isn't printable text without spaces", c.Identity)
		}
		if otherHolder, ok := seen[c.Token]; ok {
			return nil, fault.New(fault.Invalid, "%s and %s have the same token", otherHolder, c.Identity)
		}
		seen[c.Token] = c.Identity
		set.entries = append(set.entries, tokenEntry{sha256.Sum256([]byte(c.Token)), c.Identity})
		if c.Identity.Role != Customer {
			set.byRole[c.Identity.Role] = c.Token
		}
	}
	return set, nil
}

// bearerScheme is the scheme of the Authorization header in lower case, with the
// space that separates it from the token.
const bearerScheme = "bearer "

// Authenticate returns the holder of a token, which is given alone or as the value of an
// Authorization header. It returns an error of kind Denied for an unknown token.
//
// It always compares the hashes of all tokens in constant time, so that the
// response time reveals nothing about the tokens.
func (t *TokenSet) Authenticate(bearer string) (Identity, error) {
	if len(bearer) > maxTokenBytes {
		return Identity{}, fault.New(fault.Denied, "the token is too long")
	}
	if len(bearer) >= len(bearerScheme) && strings.EqualFold(bearer[:len(bearerScheme)], bearerScheme) {
		bearer = strings.TrimSpace(bearer[len(bearerScheme):])
	}
	hash := sha256.Sum256([]byte(bearer))
	var found Identity
	for i := range t.entries {
		if subtle.ConstantTimeCompare(hash[:], t.entries[i].hash[:]) == 1 {
			found = t.entries[i].identity
		}
	}
	if found.Role == 0 {
		return Identity{}, fault.New(fault.Denied, "the bearer token is missing or unknown")
	}
	return found, nil
}

// Token returns the token of a role other than Customer, with which this process makes its
// own calls, or "" when the set has none.
func (t *TokenSet) Token(role Role) string { return t.byRole[role] }

// String returns a fixed text that reveals no token.
func (t *TokenSet) String() string { return "[tokens redacted]" }

// GoString returns the same text as String, so that %#v prints no token either.
func (t *TokenSet) GoString() string { return t.String() }

// String returns the role, followed by the customer's name if there is one.
func (i Identity) String() string {
	if i.Customer != "" {
		return i.Role.String() + " " + i.Customer
	}
	return i.Role.String()
}
