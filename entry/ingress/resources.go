package ingress

// Resources is what a process may use.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

const (
	// defaultMemoryBytes and defaultDescriptors apply where nothing is configured.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
	// fileDescriptors is the number of descriptors that are not for sockets.
	fileDescriptors = 200
	// connectionBytes is the memory of a connection without a request: its goroutine, its buffers, and its receive buffer in the kernel.
	connectionBytes = 48 << 10
	// orderBytes is the memory of an order to a backend server with its request.
	orderBytes = 16 << 10
	// memoryLimitPercent is the soft limit of the Go runtime's memory, in percent of that of the process. Near the limit, garbage is
	// collected more often.
	memoryLimitPercent = 60
)

// withDefaults returns the resources with defaults for what is not configured.
func (r Resources) withDefaults() Resources {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = defaultMemoryBytes
	}
	if r.Descriptors <= 0 {
		r.Descriptors = defaultDescriptors
	}
	return r
}

// RuntimeMemoryLimit returns the soft memory limit for the Go runtime.
func (r Resources) RuntimeMemoryLimit() int64 {
	return r.withDefaults().MemoryBytes * memoryLimitPercent / 100
}

// jobPart is the part of the memory that jobs may take.
const jobPart = 4

// JobMemory returns the memory for accepted jobs.
func (r Resources) JobMemory() int64 {
	return r.withDefaults().MemoryBytes / jobPart
}

// MaxOrders returns the number of orders to backend servers that may be sent at the same time, in a sixteenth of the memory.
func (r Resources) MaxOrders() int {
	return max(int(r.withDefaults().MemoryBytes/16/orderBytes), 1)
}

// Callers returns the limits of the callers' listener: three eighths of the sockets, a quarter of the memory for connections, and an
// eighth of it for requests that arrive and for those that are handled.
func (r Resources) Callers() Limits {
	return r.share(3, 4, 8)
}

// Operators returns the limits of a listener for operators and probes of readiness.
func (r Resources) Operators() Limits {
	return r.share(1, 16, 16)
}

// Peers returns the limits of a listener for other entries, which do not apply to trusted ones.
func (r Resources) Peers() Limits {
	return r.share(1, 8, 8)
}

// share returns limits of so many eighths of the sockets, and of one part in so many of the memory.
func (r Resources) share(socketEighths, connectionPart, requestPart int) Limits {
	r = r.withDefaults()
	sockets := max(r.Descriptors-fileDescriptors, 0) * socketEighths / 8
	return Limits{
		Connections: max(min(sockets, int(r.MemoryBytes)/connectionPart/connectionBytes), 1),
		MemoryBytes: r.MemoryBytes / int64(requestPart),
	}
}
