package slopes

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the live heap after two collections; the second frees what finalizers held.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapAndStackBytes adds the goroutine stacks, which matter where a mechanism keeps connections open.
func heapAndStackBytes() float64 {
	heap := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + float64(stats.StackInuse)
}

// residentBytes returns the resident set of this process.
func residentBytes() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}

// costOfEach runs f count times and returns the processor time of one run in microseconds.
func costOfEach(count int, f func(i int)) float64 {
	runtime.GC()
	before := cpuTime()
	for i := range count {
		f(i)
	}
	return micros(cpuTime()-before) / float64(count)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
