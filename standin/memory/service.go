package memory

// Service is the name of a platform service.
type Service string

// Names of the platform services.
const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
	ServiceOrders  Service = "orders"
	ServiceUsage   Service = "usage"
	ServiceHosts   Service = "hosts"
	ServiceWeights Service = "weights"
)

// AllServices returns the names of all services.
func AllServices() []Service {
	return []Service{ServiceTable, ServiceObjects, ServiceOrders, ServiceUsage, ServiceHosts, ServiceWeights}
}
