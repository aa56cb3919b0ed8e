// Package pressure contains only tests. Each runs one broker as a process with the least memory that a platform gives it, and many clients that
// send large, slow or unsound requests at once, or leave. The tests check from outside that the process stays within its memory limit and that
// usual clients are served meanwhile.
//
// Depends on no package of this module. Concurrency: the tests run one after the other, as each keeps the machine busy.
package pressure
