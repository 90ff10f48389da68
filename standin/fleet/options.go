package fleet

// Names of the policy, the trainer and the plain service of every fleet.
const (
	Policy      = "trip-fares"
	TrainerName = "coach"
	deskService = "booking-desk"
)

// Options configure a fleet.
type Options struct {
	// Entries and Engines list the data centre of each entry and engine. Each data centre is its own region.
	Entries, Engines []string
	// Desks is the number of booking services, which are plain services.
	Desks int
	// Trainer starts a trainer that pulls through the last entry.
	Trainer bool
	// IgnoreTerms makes the platform accept orders with an outdated fencing term.
	IgnoreTerms bool
	// CrashMarker crashes an engine that receives it in a prompt.
	CrashMarker string
	// RelayEntry is the number, from 1, of an entry whose connections with the platform and the other entries go through
	// relays; 0 means none.
	RelayEntry int
	// RecordEngines puts a Recorder between each agent and its engine.
	RecordEngines bool
	// UsageFlushInterval is the interval at which agents persist usage; empty means 500ms.
	UsageFlushInterval string
}

// Settings is the content of a settings file.
type Settings map[string]any
