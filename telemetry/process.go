package telemetry

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// captureProcess takes the process's own figures into gauges: processor time
// in milliseconds, resident memory in bytes, goroutines.
func (r *Registry) captureProcess() {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err == nil {
		cpu := time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
		r.Gauge("process_cpu_milliseconds").Update(cpu.Milliseconds())
	}
	if rss, ok := residentBytes(); ok {
		r.Gauge("process_resident_memory_bytes").Update(rss)
	}
	r.Gauge("process_goroutines").Update(int64(runtime.NumGoroutine()))
}

// residentBytes reads the resident set's size from /proc/self/statm (proc(5)).
func residentBytes() (int64, bool) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
