// Package proof contains only tests. They run several real broker processes, inject faults, and audit from outside the properties that
// the processes must keep together. No result may depend on the speed of the machine: a test waits for a state with a generous limit,
// and watches for a fixed span that something does not happen.
//
// Depends on no package of this module. Concurrency: tests run in parallel, with at most three tiers of processes
// at a time.
package proof
