package main

import (
	"time"

	"github.com/radishshelf/radishshelf/lotstore"
)

// groupPeer returns the entry that holds copies of sample groups while the store is down. An entry in another data
// centre is preferred, so that no group is lost with a data centre.
func (p *process) groupPeer() (lotstore.GroupHolder, bool) {
	var address string
	for _, info := range p.syncer.Entries(time.Now()) {
		if info.GetLeaving() {
			continue
		}
		if address == "" || info.GetDataCentre() != p.settings.DataCentre {
			address = info.GetPeerAddress()
		}
		if info.GetDataCentre() != p.settings.DataCentre {
			break
		}
	}
	if address == "" {
		return nil, false
	}
	return p.dialer.Dial(address), true
}
