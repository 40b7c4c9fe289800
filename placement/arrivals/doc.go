// Package arrivals simulates a placement.Cluster with a seeded list of arriving
// jobs and their actual run times. It reports waiting times, packing, missed
// deadlines and refusals. It acts as the owner of the committed state: it
// commits each plan and reports the ends of tasks. It simulates no network,
// leases or lost messages.
package arrivals
