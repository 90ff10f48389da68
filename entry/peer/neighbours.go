package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxNeighbours bounds the entries that are counted.
const maxNeighbours = 4096

// neighbours counts the entries of each data centre from what Sync says about them.
type neighbours struct {
	heardAt map[string]time.Time
	places  map[string]string
	cleaned time.Time
}

func newNeighbours() *neighbours {
	return &neighbours{heardAt: map[string]time.Time{}, places: map[string]string{}}
}

func (n *neighbours) heard(infos []*rpc.EntryInfo, now time.Time) {
	if now.Sub(n.cleaned) > forgetEntry {
		n.clean(now)
	}
	for _, info := range infos {
		if _, known := n.places[info.GetName()]; !known && len(n.places) >= maxNeighbours || info.GetName() == "" {
			continue
		}
		n.heardAt[info.GetName()] = now
		n.places[info.GetName()] = info.GetDataCentre()
	}
}

func (n *neighbours) clean(now time.Time) {
	n.cleaned = now
	for name, at := range n.heardAt {
		if now.Sub(at) > forgetEntry {
			delete(n.heardAt, name)
			delete(n.places, name)
		}
	}
}

// count returns how many entries the data centre has, and whether all known entries are in it.
func (n *neighbours) count(dataCentre string) (entries int, single bool) {
	for _, place := range n.places {
		if place == dataCentre {
			entries++
		}
	}
	return entries, entries == len(n.places)
}
