package hosting

// Services bundles the platform interfaces that a process uses.
type Services struct {
	Table   Table
	Objects Objects
	Orders  Orders
	Usage   UsageSink
	Hosts   Hosts
	Weights Weights
}
