package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxKnownEntries limits the number of entries that are tracked.
const maxKnownEntries = 4096

// knownEntries tracks the entries named in Sync messages to count those of each data centre. It is not safe for
// concurrent use.
type knownEntries struct {
	lastSeen    map[string]time.Time
	dataCentres map[string]string
	prunedAt    time.Time
}

func newKnownEntries() *knownEntries {
	return &knownEntries{lastSeen: map[string]time.Time{}, dataCentres: map[string]string{}}
}

func (k *knownEntries) record(infos []*rpc.EntryInfo, now time.Time) {
	if now.Sub(k.prunedAt) > entryTimeout {
		k.prune(now)
	}
	for _, info := range infos {
		if _, known := k.dataCentres[info.GetName()]; !known && len(k.dataCentres) >= maxKnownEntries || info.GetName() == "" {
			continue
		}
		k.lastSeen[info.GetName()] = now
		k.dataCentres[info.GetName()] = info.GetDataCentre()
	}
}

func (k *knownEntries) prune(now time.Time) {
	k.prunedAt = now
	for name, at := range k.lastSeen {
		if now.Sub(at) > entryTimeout {
			delete(k.lastSeen, name)
			delete(k.dataCentres, name)
		}
	}
}

// count returns the number of entries in the data centre, and whether all known entries are in it.
func (k *knownEntries) count(dataCentre string) (entries int, single bool) {
	for _, dc := range k.dataCentres {
		if dc == dataCentre {
			entries++
		}
	}
	return entries, entries == len(k.dataCentres)
}
