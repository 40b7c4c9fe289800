// Package customer describes the customers of a cell: the keys that identify them in calls, what
// each may have running at a time and its weight when all is full. It does no I/O.
package customer

import (
	"crypto/sha256"
	"fmt"
	"math"

	"github.com/bilberryferry/bilberryferry/resource"
)

// Digest is the SHA-256 digest of a key. Only digests are compared and passed between instances,
// so that no log line or error can contain a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Customer is one customer as a configuration describes it.
type Customer struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the keys that identify the customer. A customer without a key can't
	// make calls; its accepted jobs go on.
	Keys []Digest `cbor:"2,keyasint,omitempty"`
	// Weight is the customer's share, relative to the weights of the others, when all is full.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Limit is what the customer may have running at a time; 0 in a field means no limit.
	Limit resource.Amount `cbor:"4,keyasint,omitempty"`
}

// Field names a part of a customer's description.
type Field string

// Fields that Check may find invalid.
const (
	FieldName   Field = "name"
	FieldKeys   Field = "keys"
	FieldWeight Field = "weight"
	FieldLimit  Field = "limit"
)

// InvalidError says which field of which customer is invalid and why.
type InvalidError struct {
	Field Field
	// Customer is the name of the customer.
	Customer string
	Message  string
}

// Error returns the customer, the field and the message.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("customer %q: %s: %s", e.Customer, e.Field, e.Message)
}

// MaxKeys is how many keys all customers may have together. A process keeps some hundred bytes for each.
const MaxKeys = 50_000

// Check returns an *InvalidError for the first customer that can't be configured, nil if there is
// none: each needs a name of its own, keys that no other customer has, a weight of 0 or more and no
// negative limit, and all together have MaxKeys keys at most.
func Check(customers []Customer) error {
	keys := 0
	names := make(map[string]bool, len(customers))
	owners := map[Digest]string{}
	for i := range customers {
		c := &customers[i]
		if err := c.check(); err != nil {
			return err
		}
		if names[c.Name] {
			return &InvalidError{FieldName, c.Name, "two customers have this name"}
		}
		names[c.Name] = true
		if keys += len(c.Keys); keys > MaxKeys {
			return &InvalidError{FieldKeys, c.Name, fmt.Sprintf("more than %d keys of all customers", MaxKeys)}
		}
		for _, key := range c.Keys {
			if owner, taken := owners[key]; taken && owner != c.Name {
				return &InvalidError{FieldKeys, c.Name, fmt.Sprintf("customer %q has the same key", owner)}
			}
			owners[key] = c.Name
		}
	}
	return nil
}

// emptyKey is the digest of the empty key, with which anybody could call.
var emptyKey = DigestOf("")

// check returns an *InvalidError for the first invalid field of the customer by itself.
func (c *Customer) check() error {
	switch {
	case c.Name == "":
		return &InvalidError{FieldName, c.Name, "missing"}
	case c.Weight < 0 || math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0):
		return &InvalidError{FieldWeight, c.Name, "not a number of 0 or more"}
	case c.Limit.MilliCPU < 0 || c.Limit.MemoryMB < 0 || c.Limit.Accelerators < 0:
		return &InvalidError{FieldLimit, c.Name, "negative"}
	}
	for _, key := range c.Keys {
		if key == emptyKey {
			return &InvalidError{FieldKeys, c.Name, "a key is empty"}
		}
	}
	return nil
}
