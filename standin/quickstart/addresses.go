package quickstart

// Addresses in the settings files of examples/quickstart.
const (
	platformURL           = "http://127.0.0.1:17000"
	entry1URL             = "http://127.0.0.1:17110"
	entry2URL             = "http://127.0.0.1:17120"
	entry2OperatorAddress = "127.0.0.1:17121"
	engine1URL            = "http://127.0.0.1:17210"
	engine2URL            = "http://127.0.0.1:17220"
	deskURL               = "http://127.0.0.1:17230"
	trainerURL            = "http://127.0.0.1:17300"
)

const policy = "trip-fares"

// statusURLs returns the status URLs of the entries and agents.
func statusURLs() []string {
	return []string{
		"http://127.0.0.1:17113", "http://127.0.0.1:17123",
		"http://127.0.0.1:17213", "http://127.0.0.1:17223", "http://127.0.0.1:17233",
	}
}
