// Package conf holds the configuration that all instances share: the document that
// operators write while the system runs, and the register that keeps its versions
// inside the replicated configuration log. Package settings holds the settings of a single
// process, which are read once at its start.
package conf

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// Bounds of a document.
const (
	// MaxDocumentBytes is the largest text of a document in bytes.
	MaxDocumentBytes = 64 << 10
	maxCustomers     = 1000
	maxWeight        = 1000
	// maxQuotaCount bounds the accelerators of a customer and the quota generation.
	maxQuotaCount = 1_000_000
	// maxDataCentres bounds the data centres among which quotas are divided. It is far
	// below the number of parts into which a quota is split.
	maxDataCentres = 64
)

// Unlimited is the value of an amount without a limit.
const Unlimited int64 = -1

// Document is the shared configuration. Concurrent readers share it, so it must not be
// changed.
type Document struct {
	Customers []Customer
	Quota     QuotaDivision
}

// QuotaDivision names the data centres among which quotas are divided. It belongs to
// the shared configuration and not to the settings of processes: data centres that
// divided quotas differently would together give a customer more than its limit.
type QuotaDivision struct {
	DataCentres []string
	// Generation is raised by an operator, and only to have the quotas divided again.
	Generation uint64
}

// Customer is one customer's quota over all data centres together, and its weight.
type Customer struct {
	Name string
	// CPU is in thousandths of a core, or Unlimited.
	CPU int64
	// Memory is in MiB, or Unlimited.
	Memory int64
	// Accelerators is a count of devices, or Unlimited.
	Accelerators int64
	// Weight is the customer's weight, 1 by default. Under contention customers share the
	// resources in proportion to their weights.
	Weight int
}

// Customer returns the customer with the given name.
func (d *Document) Customer(name string) (Customer, bool) {
	if d == nil {
		return Customer{}, false
	}
	for _, c := range d.Customers {
		if c.Name == name {
			return c, true
		}
	}
	return Customer{}, false
}

// rawDocument is the document as it is written. Amounts stay text, so that the error
// for an invalid amount names its line.
type rawDocument struct {
	Customers []rawCustomer    `toml:"customer"`
	Quota     rawQuotaDivision `toml:"quota"`
}

type rawQuotaDivision struct {
	DataCentres []string `toml:"data_centres"`
	Generation  *int64   `toml:"generation"`
}

type rawCustomer struct {
	Name         string         `toml:"name"`
	CPU          *tomlfile.Text `toml:"cpu"`
	Memory       *tomlfile.Text `toml:"memory"`
	Accelerators *int64         `toml:"accelerators"`
	Weight       *int64         `toml:"weight"`
}

// Parse reads and checks a document. Errors are faults of kind Invalid that name line and
// key. The empty text is a document without customers.
func Parse(text string) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fault.New(fault.Invalid, "the configuration has %d bytes, at most %d are allowed", len(text), MaxDocumentBytes)
	}
	var raw rawDocument
	file, err := tomlfile.Decode("configuration", []byte(text), &raw)
	if err != nil {
		return nil, err
	}
	if len(raw.Customers) > maxCustomers {
		return nil, file.Errorf("customer", "%d customers are too many, at most %d", len(raw.Customers), maxCustomers)
	}
	document := &Document{}
	seen := make(map[string]bool)
	for i := range raw.Customers {
		customer, err := parseCustomer(file, i, &raw.Customers[i])
		if err != nil {
			return nil, err
		}
		if seen[customer.Name] {
			return nil, file.Errorf(customerPath(i, "name"), "customer %q is named twice", customer.Name)
		}
		seen[customer.Name] = true
		document.Customers = append(document.Customers, customer)
	}
	document.Quota, err = parseQuotaDivision(file, &raw.Quota)
	if err != nil {
		return nil, err
	}
	if len(document.Quota.DataCentres) == 0 && document.hasQuotas() {
		return nil, file.Errorf("quota.data_centres", "is missing: customers have quotas, and these are divided among data centres")
	}
	return document, nil
}

// hasQuotas reports whether any customer has a quota.
func (d *Document) hasQuotas() bool {
	return slices.ContainsFunc(d.Customers, func(c Customer) bool {
		return c.CPU != Unlimited || c.Memory != Unlimited || c.Accelerators != Unlimited
	})
}

func parseQuotaDivision(file *tomlfile.File, raw *rawQuotaDivision) (QuotaDivision, error) {
	division := QuotaDivision{DataCentres: raw.DataCentres}
	if len(raw.DataCentres) > maxDataCentres {
		return division, file.Errorf("quota.data_centres", "%d data centres are too many, at most %d", len(raw.DataCentres), maxDataCentres)
	}
	for i, name := range raw.DataCentres {
		if !settings.NamePattern.MatchString(name) {
			return division, file.Errorf("quota.data_centres", "%q isn't a name", name)
		}
		if slices.Contains(raw.DataCentres[:i], name) {
			return division, file.Errorf("quota.data_centres", "%q is named twice", name)
		}
	}
	generation := int64(0)
	err := setCount(file, "quota.generation", raw.Generation, 0, maxQuotaCount, &generation)
	division.Generation = uint64(generation)
	return division, err
}

func customerPath(i int, key string) string {
	return "customer[" + strconv.Itoa(i) + "]." + key
}

func parseCustomer(file *tomlfile.File, i int, raw *rawCustomer) (Customer, error) {
	c := Customer{Name: raw.Name, CPU: Unlimited, Memory: Unlimited, Accelerators: Unlimited, Weight: 1}
	if !settings.NamePattern.MatchString(raw.Name) {
		return c, file.Errorf(customerPath(i, "name"), "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", raw.Name)
	}
	if err := setAmount(file, customerPath(i, "cpu"), raw.CPU, units.ParseCores, &c.CPU); err != nil {
		return c, err
	}
	if err := setAmount(file, customerPath(i, "memory"), raw.Memory, units.ParseMiB, &c.Memory); err != nil {
		return c, err
	}
	if err := setCount(file, customerPath(i, "accelerators"), raw.Accelerators, 0, maxQuotaCount, &c.Accelerators); err != nil {
		return c, err
	}
	weight := int64(c.Weight)
	err := setCount(file, customerPath(i, "weight"), raw.Weight, 1, maxWeight, &weight)
	c.Weight = int(weight)
	return c, err
}

// setAmount parses raw into dest, unless raw is missing. path is the key for the error.
func setAmount(file *tomlfile.File, path string, raw *tomlfile.Text, parse func(string) (int64, error), dest *int64) error {
	if raw == nil {
		return nil
	}
	amount, err := parse(string(*raw))
	if err != nil {
		return file.Errorf(path, "%v", err)
	}
	*dest = amount
	return nil
}

// setCount sets dest to raw, unless raw is missing, and returns an error for a value
// below lowest or above highest. path is the key for the error.
func setCount(file *tomlfile.File, path string, raw *int64, lowest, highest int64, dest *int64) error {
	if raw == nil {
		return nil
	}
	if *raw < lowest || *raw > highest {
		return file.Errorf(path, "must be from %d to %d, is %d", lowest, highest, *raw)
	}
	*dest = *raw
	return nil
}

// String returns the document as TOML, from which Parse returns the same document.
func (d *Document) String() string {
	var b bytes.Buffer
	for i, c := range d.Customers {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[[customer]]\nname = %q\n", c.Name)
		if c.CPU >= 0 {
			fmt.Fprintf(&b, "cpu = %q\n", units.FormatCores(c.CPU))
		}
		if c.Memory >= 0 {
			fmt.Fprintf(&b, "memory = %q\n", units.FormatSize(c.Memory*units.MiB))
		}
		if c.Accelerators >= 0 {
			fmt.Fprintf(&b, "accelerators = %d\n", c.Accelerators)
		}
		fmt.Fprintf(&b, "weight = %d\n", c.Weight)
	}
	if len(d.Quota.DataCentres) > 0 {
		names := make([]string, 0, len(d.Quota.DataCentres))
		for _, name := range d.Quota.DataCentres {
			names = append(names, strconv.Quote(name))
		}
		fmt.Fprintf(&b, "\n[quota]\ndata_centres = [%s]\ngeneration = %d\n", strings.Join(names, ", "), d.Quota.Generation)
	}
	return b.String()
}
