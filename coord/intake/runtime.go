package intake

import "runtime/debug"

// runtimeRatio is the Go runtime's soft memory limit as a fraction of the memory of the process. It has no effect on garbage
// collection until the Go memory comes near the limit.
const runtimeRatio = 0.6

// LimitRuntime sets how much memory the Go runtime uses in a process with some memory in bytes; 0 changes nothing.
func LimitRuntime(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeRatio * float64(memoryBytes)))
	}
}
