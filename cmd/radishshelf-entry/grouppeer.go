package main

import (
	"time"

	"github.com/radishshelf/radishshelf/lotstore"
)

// groupPeer returns the entry that holds copies of groups while the store is down: one of another data centre when
// there is one, so that the loss of a data centre loses no group.
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
