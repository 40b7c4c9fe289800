package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Role is what a bearer token lets its holder do.
type Role uint8

// Roles.
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

// Identity is who a token stands for. Customer is set for the role Customer.
type Identity struct {
	Role     Role
	Customer string
}

// Credential is one token and whom it stands for.
type Credential struct {
	Token    string
	Identity Identity
}

// TokenSet knows the tokens of a deployment. Its text form shows none of them.
type TokenSet struct {
	entries []tokenEntry
	byRole  map[Role]string
}

type tokenEntry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// maxTokenBytes bounds a token file; a token is a line, not a document.
const maxTokenBytes = 4096

// LoadTokens reads the token files. A file that is missing, empty or holds
// more than one line, and a token that stands for two identities, are Invalid.
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

// ReadToken reads one token from a file: a single line, surrounding white
// space dropped.
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

func isTokenText(token string) bool {
	for _, c := range []byte(token) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// NewTokenSet makes a token set. Two credentials with one token are refused,
// for then a token wouldn't say who holds it.
func NewTokenSet(credentials []Credential) (*TokenSet, error) {
	set := &TokenSet{byRole: make(map[Role]string)}
	seen := make(map[string]Identity)
	for _, c := range credentials {
		if c.Token == "" || !isTokenText(c.Token) {
			return nil, fault.New(fault.Invalid, "the token of %s isn't printable text without spaces", c.Identity)
		}
		if other, ok := seen[c.Token]; ok {
			return nil, fault.New(fault.Invalid, "%s and %s have the same token", other, c.Identity)
		}
		seen[c.Token] = c.Identity
		set.entries = append(set.entries, tokenEntry{sha256.Sum256([]byte(c.Token)), c.Identity})
		if c.Identity.Role != Customer {
			set.byRole[c.Identity.Role] = c.Token
		}
	}
	return set, nil
}

// bearerScheme is the scheme of the Authorization header.
const bearerScheme = "bearer "

// Authenticate finds whom a token stands for. It takes the bare token or the
// value of an Authorization header. Unknown tokens are Denied.
//
// Hashes of equal length are compared, every one of them each time, so that
// the time taken tells a guesser nothing about the tokens.
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

// Token returns the token of a role other than Customer, for calls that this
// process makes itself; empty when the set holds none.
func (t *TokenSet) Token(role Role) string { return t.byRole[role] }

// String shows how many tokens there are, and none of them.
func (t *TokenSet) String() string { return "[tokens redacted]" }

// GoString is String, so that no verb of fmt prints a token.
func (t *TokenSet) GoString() string { return t.String() }

// String names the identity for logs and errors.
func (i Identity) String() string {
	if i.Customer != "" {
		return i.Role.String() + " " + i.Customer
	}
	return i.Role.String()
}
