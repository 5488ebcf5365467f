package dispatch

// lateMemoryFraction is the part of an engine's memory that late requests may fill. What is above it
// stays free for requests that can still be on time: after a burst, late ones would otherwise keep the
// engines full for as long as the burst has lasted.
const lateMemoryFraction = 0.6

// isLate reports whether the latency target of a request had passed when it arrived. It answers bursts
// above the capacity of the engines, whose refused callers return while others arrive.
func (j *job) isLate() bool { return j.PlaceLateUntil != 0 }

// memoryLimit returns the memory in tokens to which an engine may be filled by a job.
func memoryLimit(j *job, size EngineCapacity) int {
	if j.isLate() {
		return int(lateMemoryFraction * float64(size.MemoryTokens))
	}
	return size.MemoryTokens
}
