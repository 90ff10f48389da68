package peer

import "time"

// Limits of the reports and fingerprints in Sync. An entry may use 12 KB/s for them, 6 KB/s in each direction, of its
// 18 KB/s of control traffic. Each second it makes two calls and serves one of a random peer; a reader of the table also
// serves a share of its data centre.
const (
	// changeRate and refreshRate bound what an entry sends, in bytes a second, over all messages. Changes have a share of
	// their own, so that refreshing never delays them.
	changeRate  = 1500
	refreshRate = 4500
	// maxRemoteBytes bounds one message to another data centre in bytes: on average one answer and one request of that size
	// arrive each second.
	maxRemoteBytes = 2200
	// maxLocalBytes bounds one message within the data centre, where an entry receives an answer of a reader each second.
	maxLocalBytes = 600
	// maxSingleDCBytes replaces both in a fleet of one data centre.
	maxSingleDCBytes = 1500
	// maxFullReportBytes bounds the full reports that an entry asked for, which it does after its start, and answerRate what an
	// entry sends for them in bytes a second. Starts are rare: 250 a day in a large fleet.
	maxFullReportBytes = 8000
	fullReportRate     = 8000
	// localRequestRate bounds in bytes a second what a reader receives in the requests of its data centre together; each
	// entry takes its share. Two readers divide the requests.
	localRequestRate     = 1000
	readersPerDataCentre = 2
	// minReportBytes is below the size of any report; with less room none is looked for.
	minReportBytes = 60
	// fieldOverhead is the tag and the length of a repeated message of 128 B and more.
	fieldOverhead = 3
)

// Limits of the choice.
const (
	// changeSends is how often an entry sends a change to each other data centre, and at least to its own, where it is
	// sent as often as there are entries: a reader serves many of them. Entries that learn it send it on, so that two
	// sends of each reach all entries of eight data centres in a few exchanges.
	changeSends = 2
	// changeWindow ends the preference of a change. By then all entries have it, and a change of all upstreams at once
	// does not hold back the refresh for longer.
	changeWindow = 10 * time.Second
	// observeInterval spares a reader, which serves tens of calls a second, a walk over all upstreams for each of them.
	observeInterval = 100 * time.Millisecond
	// localShareDivisor is the part of a message, a quarter, that goes to upstreams of the receiver's data centre. With eight data
	// centres these are refreshed twice as often as the others, and no fleet shape leaves the others out.
	localShareDivisor = 4
	// maxRelayAge is the age up to which the unchanged report of a peer is passed on. An older one costs the bytes of a
	// direct one and is often older than what the receiver has.
	maxRelayAge = 5 * time.Second
	// entryTimeout is the silence after which an entry no longer counts for the size of the data centre.
	entryTimeout = time.Minute
)
