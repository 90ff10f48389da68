package memory

// Service names one service of the platform.
type Service string

// The services of the platform.
const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
	ServiceOrders  Service = "orders"
	ServiceUsage   Service = "usage"
	ServiceHosts   Service = "hosts"
	ServiceWeights Service = "weights"
)

// AllServices lists every service.
func AllServices() []Service {
	return []Service{ServiceTable, ServiceObjects, ServiceOrders, ServiceUsage, ServiceHosts, ServiceWeights}
}
