package peer

import "time"

// Size limits for the reports and fingerprints in Sync messages. An entry may use 12 KB/s for them, 6 KB/s in each
// direction, of its 18 KB/s of control traffic. Each second it makes two calls and serves one call of a random peer. An
// entry that reads the table (a reader) also serves a share of the calls from its data centre.
const (
	// changeRate and refreshRate limit what an entry sends in all messages together, in bytes per second. Changes have
	// their own budget so that refreshes never delay them.
	changeRate  = 1500
	refreshRate = 4500
	// maxRemoteBytes limits the size of one message to another data centre. On average, an entry receives one response
	// and one request of that size each second.
	maxRemoteBytes = 2200
	// maxLocalBytes limits the size of one message within the data centre, where an entry receives a response from a
	// reader each second.
	maxLocalBytes = 600
	// maxSingleDCBytes replaces both limits in a fleet with one data centre.
	maxSingleDCBytes = 1500
	// maxFullReportBytes limits the size of the full reports in one response, which an entry requests after its start, and
	// fullReportRate what an entry sends in such reports, in bytes per second. Starts are rare: 250 per day in a large
	// fleet.
	maxFullReportBytes = 8000
	fullReportRate     = 8000
	// localRequestRate limits what a reader receives in all requests from its data centre, in bytes per second. Each entry
	// may use an equal share of the limits of the two readers, which divide the requests among them.
	localRequestRate     = 1000
	readersPerDataCentre = 2
	// minReportBytes is smaller than any report. With less space than this, no reports are selected.
	minReportBytes = 60
	// fieldOverhead is the size of the tag and the length of a repeated message of 128 B or more.
	fieldOverhead = 3
)

// Parameters for selecting reports.
const (
	// changeSends is how often an entry sends a change to each other data centre. It is also the minimum for its own data
	// centre, where a change is sent as often as there are entries because a reader serves many of them. Entries relay
	// the changes they learn, so two sends by each entry reach all entries of eight data centres in a few exchanges.
	changeSends = 2
	// changeWindow is how long a change has priority over refreshes. After that time all entries have received it, and a
	// simultaneous change of all upstreams does not hold back refreshes any longer.
	changeWindow = 10 * time.Second
	// observeInterval is the minimum time between scans of all upstreams. A reader serves tens of calls per second and
	// would otherwise scan them for each call.
	observeInterval = 100 * time.Millisecond
	// localShareDivisor limits the reports of upstreams in the receiver's data centre, which come first, to a quarter of a
	// message. With eight data centres they are refreshed twice as often as the others, and the others are refreshed in
	// fleets of any shape.
	localShareDivisor = 4
	// maxRelayAge is the maximum age at which an unchanged report from a peer is relayed. An older report takes as many
	// bytes as a direct one and is often older than the one that the receiver has.
	maxRelayAge = 5 * time.Second
	// entryTimeout is the time without a message after which an entry is no longer counted in its data centre.
	entryTimeout = time.Minute
)
