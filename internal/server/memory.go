package server

import (
	"bufio"
	"io"
	"math"
	"os"
	"strconv"
	"strings"

	"flaxfront/internal/decision/memplan"
	"flaxfront/internal/transport/membudget"
)

// memoryBudgets are what the broker's connections share of its memory limit.
type memoryBudgets struct {
	plan     memplan.Plan
	requests *membudget.Budget
	answers  *membudget.Budget
}

// newMemoryBudgets divides a memory limit, for the connections that the descriptors allow. remoteResults states whether results are kept for other
// sites.
func newMemoryBudgets(limitMB int, d descriptors, remoteResults bool) memoryBudgets {
	plan := memplan.New(int64(limitMB)<<20, codeBytes(), memplan.Connections{Clients: d.clients, Nodes: d.nodes})
	if remoteResults {
		plan.ReserveRemoteResults()
	}
	return memoryBudgets{
		plan:     plan,
		requests: membudget.New("requests", plan.Requests),
		answers:  membudget.New("answers", plan.Answers),
	}
}

// FrontMemory is what a front may use of the broker's memory. The zero value is unlimited.
type FrontMemory struct {
	Requests   *membudget.Budget // for clients' messages until they are answered
	Guaranteed int               // bytes of each connection's message for which that budget is not needed
	Answers    *membudget.Budget // for responses until they are written
	ResultSets int               // bytes of all result sets that are kept
}

// FrontMemory returns what each front may use of the broker's memory. It may be called after Open.
func (s *Server) FrontMemory() FrontMemory {
	return FrontMemory{
		Requests:   s.memory.requests,
		Guaranteed: s.memory.plan.Guaranteed,
		Answers:    s.memory.answers,
		ResultSets: int(s.memory.plan.ResultSets),
	}
}

// LimitResultSets returns how many of a number of bytes result sets may take.
func (m *FrontMemory) LimitResultSets(bytes int) int {
	if m.ResultSets == 0 {
		return bytes
	}
	return min(bytes, m.ResultSets)
}

// RuntimeMemory returns the memory limit for Go's runtime: what the plan gives it, and what the runtime counts although it has not touched it. It
// may be called after Open.
func (s *Server) RuntimeMemory() int64 {
	untouched := max(0, int64(readRuntime().inUse)-residentBytes())
	return s.memory.plan.Runtime + untouched
}

// residentBytes returns the memory of the process that is no file's, or a large number where the system does not tell it.
func residentBytes() int64 {
	const residentColumn, sharedColumn = 1, 2 // of /proc/self/statm, in pages
	text, err := os.ReadFile("/proc/self/statm")
	columns := strings.Fields(string(text))
	if err != nil || len(columns) <= sharedColumn {
		return math.MaxInt64
	}
	resident, err1 := strconv.ParseInt(columns[residentColumn], 10, 64)
	shared, err2 := strconv.ParseInt(columns[sharedColumn], 10, 64)
	if err1 != nil || err2 != nil {
		return math.MaxInt64
	}
	return (resident - shared) * int64(os.Getpagesize())
}

// usualCodeBytes stands for the size of the code in memory where the system does not tell it.
const usualCodeBytes = 20 << 20

// codeBytes returns the bytes of files that the process has mapped: its program and libraries. They count against the memory limit.
func codeBytes() int64 {
	file, err := os.Open("/proc/self/maps")
	if err != nil {
		return usualCodeBytes
	}
	defer file.Close()
	return mappedFileBytes(file)
}

// mappedFileBytes adds up the mappings of files in a table in the form of /proc/self/maps.
func mappedFileBytes(maps io.Reader) (sum int64) {
	const pathColumn = 5
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= pathColumn || !strings.HasPrefix(columns[pathColumn], "/") {
			continue
		}
		from, to, _ := strings.Cut(columns[0], "-")
		start, err1 := strconv.ParseUint(from, 16, 64)
		end, err2 := strconv.ParseUint(to, 16, 64)
		if err1 == nil && err2 == nil {
			sum += int64(end - start)
		}
	}
	return sum
}
