package customer

import (
	"fmt"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/resource"
)

// named returns a customer with the digests of keys.
func named(name string, keys ...string) Customer {
	c := Customer{Name: name, Weight: 1}
	for _, key := range keys {
		c.Keys = append(c.Keys, DigestOf(key))
	}
	return c
}

// Guards against a configuration in which a key, a name, a weight or a limit has no clear meaning.
func TestInvalidCustomersAreRefused(t *testing.T) {
	withWeight := func(weight float64) Customer { return Customer{Name: "a", Weight: weight} }
	for name, c := range map[string]struct {
		customers []Customer
		field     Field
	}{
		"two customers with one key":   {[]Customer{named("a", "k", "l"), named("b", "m", "k")}, FieldKeys},
		"two customers with one name":  {[]Customer{named("a", "k"), named("a", "l")}, FieldName},
		"no name":                      {[]Customer{named("", "k")}, FieldName},
		"an empty key":                 {[]Customer{named("a", "")}, FieldKeys},
		"a negative weight":            {[]Customer{withWeight(-1)}, FieldWeight},
		"a weight that isn't a number": {[]Customer{withWeight(math.NaN())}, FieldWeight},
		"an infinite weight":           {[]Customer{withWeight(math.Inf(1))}, FieldWeight},
		"a negative limit":             {[]Customer{{Name: "a", Limit: resource.Amount{MemoryMB: -1}}}, FieldLimit},
	} {
		var invalid *InvalidError
		must.True(t, errors.As(Check(c.customers), &invalid), must.Sprint(name))
		must.Eq(t, c.field, invalid.Field, must.Sprint(name))
	}
	must.NoError(t, Check([]Customer{named("a", "k", "k"), named("b"), withWeight(0)}[:2]))
}

// Guards against an error that tells the key of a customer.
func TestErrorsDontContainKeys(t *testing.T) {
	const secret = "the-shared-secret"
	err := Check([]Customer{named("a", secret), named("b", secret)})
	must.ErrorContains(t, err, `customer "b"`)
	must.StrNotContains(t, fmt.Sprintf("%+v", err), secret)
}

func TestDirectoryFindsByKeyAndName(t *testing.T) {
	d := NewDirectory([]Customer{named("a", "k", "l"), named("b", "m")})
	must.Eq(t, "a", d.ByKey(DigestOf("l")).Name)
	must.Eq(t, "b", d.ByKey(DigestOf("m")).Name)
	must.Nil(t, d.ByKey(DigestOf("n")))
	must.Nil(t, d.ByKey(Digest{}))
	must.Eq(t, "b", d.ByName("b").Name)
	must.Nil(t, d.ByName(""))
}

func TestHeadroomIsWhatTheLimitLeaves(t *testing.T) {
	c := Customer{Name: "a", Limit: resource.Amount{MilliCPU: 1000}}
	must.Eq(t, resource.Amount{MilliCPU: 400, MemoryMB: Unlimited, Accelerators: Unlimited}, c.Headroom(resource.Amount{MilliCPU: 600}))
	must.Eq(t, -200, c.Headroom(resource.Amount{MilliCPU: 1200}).MilliCPU)
	must.True(t, c.Allows(resource.Amount{MilliCPU: 1000, MemoryMB: 1 << 40}))
	must.False(t, c.Allows(resource.Amount{MilliCPU: 1001}))
	must.False(t, (&Customer{}).Limited())
}

// Guards against usage that drifts from what is running, and thus a limit that is passed or never
// used up.
func TestUsageIsTheSumOfWhatRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type run struct {
			customer string
			demand   resource.Amount
		}
		usage := Usage{}
		var running []run
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "run")
				usage.Remove(running[i].customer, running[i].demand)
				running = append(running[:i], running[i+1:]...)
				continue
			}
			r := run{rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer"), resource.Amount{MilliCPU: rapid.Int64Range(0, 9).Draw(t, "cpu")}}
			usage.Add(r.customer, r.demand)
			running = append(running, r)
		}
		sum := map[string]resource.Amount{}
		for _, r := range running {
			sum[r.customer] = sum[r.customer].Plus(r.demand)
		}
		must.Eq(t, sum["a"], usage["a"])
		must.Eq(t, sum["b"], usage["b"])
		must.MapNotContainsKey(t, usage, "")
	})
}

// BenchmarkByKey looks up one of ten keys of one of a thousand customers.
func BenchmarkByKey(b *testing.B) {
	var customers []Customer
	for i := range 1000 {
		c := Customer{Name: fmt.Sprint("c", i)}
		for k := range 10 {
			c.Keys = append(c.Keys, DigestOf(fmt.Sprint(i, "-", k)))
		}
		customers = append(customers, c)
	}
	d, key := NewDirectory(customers), customers[567].Keys[3]
	for b.Loop() {
		_ = d.ByKey(key)
	}
}

// Guards against a customer that is kept out of a full queue for good, or gets more than its share.
func TestQueueShareIsByWeight(t *testing.T) {
	d := NewDirectory([]Customer{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}, {Name: "c"}})
	must.Eq(t, 100, d.QueueShare(100, "a", nil))
	must.Eq(t, 75, d.QueueShare(100, "a", map[string]int{"a": 60, "b": 40, "c": 0}))
	must.Eq(t, 25, d.QueueShare(100, "b", map[string]int{"a": 100}))
	must.Positive(t, d.QueueShare(10_000, "c", map[string]int{"a": 9_000, "b": 1_000}))
	must.Eq(t, 100, NewDirectory(nil).QueueShare(100, "", map[string]int{"": 100}))
}
