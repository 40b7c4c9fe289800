package quota_test

import (
	"fmt"

	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// ExampleLedger transfers accelerators to a data centre that needs two more.
func ExampleLedger() {
	config := quota.Config{
		Version: 1, InitialOwners: []string{"naas-hall", "swords-hall"},
		Limits: map[string]placement.Resources{"reports": {CPU: 9000, Memory: 4096, Accelerators: 5}},
	}
	naas, swords := quota.NewLedger("naas-hall"), quota.NewLedger("swords-hall")
	_ = naas.Configure(config)
	_ = swords.Configure(config)
	fmt.Println(naas.Allotment("reports").Accelerators, swords.Allotment("reports").Accelerators)

	planner := quota.NewPlanner("swords-hall", config.InitialOwners)
	demand := quota.Demand{Customer: "reports", Amount: placement.Resources{Accelerators: 2}}
	request := planner.Requests(swords, []quota.Demand{demand})[0]

	unused := func(string) placement.Resources { return placement.Resources{} }
	transfer, err := naas.Debit(quota.DebitCommand{Request: request}, unused)
	fmt.Println(err, naas.Allotment("reports").Accelerators)
	fmt.Println(swords.Credit(transfer), swords.Credit(transfer))
	naas.Acknowledge(swords.Request("naas-hall"))
	fmt.Println(naas.Allotment("reports").Accelerators, swords.Allotment("reports").Accelerators)
	// Output:
	// 3 2
	// <nil> 1
	// <nil> quota: transfer was credited before
	// 1 4
}
