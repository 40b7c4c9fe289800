package customer

import "github.com/bilberryferry/bilberryferry/resource"

// Usage counts what each customer has running. Every run that may be alive counts, from the commit
// of its start until its end is known. The zero value of the map is ready for reading only.
type Usage map[string]resource.Amount

// Add records that a run of a customer may be alive. Runs without a customer aren't counted.
func (u Usage) Add(customer string, demand resource.Amount) {
	if customer != "" {
		u[customer] = u[customer].Plus(demand)
	}
}

// Remove records that a run which was added has ended.
func (u Usage) Remove(customer string, demand resource.Amount) {
	if customer == "" {
		return
	}
	left := u[customer].Minus(demand)
	if left == (resource.Amount{}) {
		delete(u, customer)
		return
	}
	u[customer] = left
}

// Unlimited is the headroom in a resource that has no limit. It is far above any demand, and low
// enough that sums of it don't overflow.
const Unlimited = int64(1) << 56

// Headroom returns what a customer may start beside what it has running. A field is negative while
// more is running than a limit that was lowered allows.
func (c *Customer) Headroom(used resource.Amount) resource.Amount {
	return c.ceiling().Minus(used)
}

// Allows reports whether the customer's limit allows a demand when nothing else of the customer runs.
func (c *Customer) Allows(demand resource.Amount) bool { return demand.Fits(c.ceiling()) }

// Limited reports whether the customer has a limit in any resource.
func (c *Customer) Limited() bool { return c.Limit != resource.Amount{} }

// ceiling returns the limit with Unlimited in the fields that have none.
func (c *Customer) ceiling() resource.Amount {
	return resource.Amount{
		MilliCPU:     orUnlimited(c.Limit.MilliCPU),
		MemoryMB:     orUnlimited(c.Limit.MemoryMB),
		Accelerators: orUnlimited(c.Limit.Accelerators),
	}
}

func orUnlimited(limit int64) int64 {
	if limit == 0 {
		return Unlimited
	}
	return limit
}
