package slopes

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// settleTimeout bounds the wait for a fleet to become ready.
const settleTimeout = 20 * time.Second

var errNotReady = errors.New("the entries did not become ready; run again on an idle machine")

// nodes is a fleet of entries over one table.
type nodes struct {
	list   []*node
	table  *countedTable
	store  *configstore.Store
	cancel context.CancelFunc
}

// knownShare is the part of the other entries that each must see as live before a measurement. An entry of a large
// fleet hears of each other one only every few seconds, so that not all of them count as live at any one time.
const knownShare = 0.7

// startNodes starts count entries that know those started before them from their settings. It returns once they know
// each other.
func startNodes(count, dataCentres int) (*nodes, error) {
	table := newCountedTable(memory.New(memory.Options{}).Table)
	ctx, cancel := context.WithCancel(context.Background())
	f := &nodes{table: table, store: configstore.New(table), cancel: cancel}
	var known []string
	for i := range count {
		n, err := newNode(i, dataCentres, table, known)
		if err != nil {
			f.close()
			return nil, err
		}
		known = append(known, n.address)
		f.list = append(f.list, n)
		n.run(ctx)
	}
	return f, f.settle()
}

func (f *nodes) settle() error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.settled() {
			return nil
		}
	}
	f.close()
	return errNotReady
}

func (f *nodes) settled() bool {
	for _, n := range f.list {
		if n.syncer.Ready() != nil || n.knows() < knownShare*float64(len(f.list)-1) {
			return false
		}
	}
	return true
}

// knows returns the number of other entries that this one sees as live.
func (n *node) knows() float64 { return float64(len(n.syncer.Entries(time.Now()))) }

func (f *nodes) close() {
	f.cancel()
	for _, n := range f.list {
		n.close()
	}
}

func (f *nodes) bytes() float64 {
	sum := 0.0
	for _, n := range f.list {
		sum += n.traffic.bytes()
	}
	return sum
}

func (f *nodes) requests() float64 {
	sum := 0.0
	for _, n := range f.list {
		sum += float64(n.traffic.requests.Load())
	}
	return sum
}

func (f *nodes) addresses() []string {
	var list []string
	for _, n := range f.list {
		list = append(list, n.address)
	}
	return list
}

// load is the cost per second of a fleet.
type load struct {
	bytes, requests, reads float64
	// cpu is in microseconds.
	cpu float64
}

// measure watches the fleet for a while.
func (f *nodes) measure(span time.Duration) load {
	bytes, requests, reads, cpu := f.bytes(), f.requests(), f.table.total().Reads, cpuTime()
	start := time.Now()
	time.Sleep(span)
	seconds := time.Since(start).Seconds()
	return load{
		bytes: (f.bytes() - bytes) / seconds, requests: (f.requests() - requests) / seconds,
		reads: (f.table.total().Reads - reads) / seconds, cpu: micros(cpuTime()-cpu) / seconds,
	}
}
