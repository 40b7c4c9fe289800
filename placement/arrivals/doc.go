// Package arrivals simulates a placement.Cluster with a seeded list of arriving
// jobs and their actual run times. The report has waiting times, packing, missed
// deadlines and refusals. The simulation acts as the owner of the committed state:
// it commits each plan and reports the ends of tasks. It has no network, leases or
// lost messages.
package arrivals
