package slopes

import (
	"sync"

	"github.com/radishshelf/radishshelf/hosting"
)

// sidecars are the agents of a fleet.
type sidecars []*sidecar

func startSidecars(count, dataCentres int, entries []string, table hosting.Table) (sidecars, error) {
	var list sidecars
	for i := range count {
		c, err := startSidecar(i, dataCentres, entries, table)
		if err != nil {
			list.close()
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

func (l sidecars) close() {
	var group sync.WaitGroup
	for _, c := range l {
		group.Go(c.close)
	}
	group.Wait()
}
