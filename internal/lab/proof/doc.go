// Package proof is tests alone: real processes of the program, with faults put between them, and audits that see all from outside.
// It owns the properties that several processes must keep together. A verdict must never hang on how fast the machine is: tests
// wait for a state with a wide bound, and watch spans in which something must not happen.
//
// Depends on no package of this module. Concurrency: tests run beside one another, a few tiers of processes
// at a time.
package proof
