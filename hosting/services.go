package hosting

// Services bundles every platform interface that a process uses.
type Services struct {
	Table   Table
	Objects Objects
	Orders  Orders
	Usage   UsageSink
	Hosts   Hosts
	Weights Weights
}
