package fleet

// Names of what every fleet serves.
const (
	Policy      = "trip-fares"
	TrainerName = "coach"
	deskService = "booking-desk"
)

// Options describe a fleet.
type Options struct {
	// Entries and Engines are the data centres of the entries and engines, one for each; a data centre is its own region.
	Entries, Engines []string
	// Desks is the number of plain services.
	Desks int
	// Trainer starts a trainer that pulls through the last entry.
	Trainer bool
	// IgnoreTerms makes the platform accept orders with an old term.
	IgnoreTerms bool
	// CrashMarker ends an engine that reads it in a prompt.
	CrashMarker string
	// RelayEntry is the index from 1 of an entry whose connections to and from the platform and the other entries go
	// through relays; 0 means none.
	RelayEntry int
	// RecordEngines puts a recorder between each agent and its engine.
	RecordEngines bool
	// UsageFlushInterval is the interval at which agents make usage durable; empty means 500ms.
	UsageFlushInterval string
}

// Settings is the content of a settings file.
type Settings map[string]any
