package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// promptBytes and completionTokens are those of a usual sample: 800 and 208 tokens of four bytes.
	promptBytes      = 3200
	completionTokens = 208
)

func sampleGroup(id string, size int) samples.Group {
	g := samples.Group{Trainer: "coach", Policy: "planner", ID: id}
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": strings.Repeat("abcd", promptBytes/4)}})
	if err != nil {
		panic(err) // strings always encode
	}
	for i := range size {
		reward := 0.5
		g.Samples = append(g.Samples, samples.Sample{
			ID: samples.SampleID(id, i), Index: i, Workspace: "workspace-1", Policy: "planner", Messages: messages,
			Completion: strings.Repeat("tokn", completionTokens), Spans: []dataplane.Span{{Version: 9, Tokens: completionTokens}},
			Reward: &reward, Upstream: "engine-0001", FinishedAt: time.Now(),
		})
	}
	return g
}

// countedObjects counts the bytes put to an object store.
type countedObjects struct {
	hosting.Objects
	putBytes float64
}

func (o *countedObjects) Put(ctx context.Context, key string, data []byte) error {
	o.putBytes += float64(len(data))
	return o.Objects.Put(ctx, key, data)
}

func newLotStore(table hosting.Table, objects hosting.Objects, lotSamples int) *lotstore.Store {
	return lotstore.New(lotstore.Options{
		Table: table, Objects: objects, Name: "entry-1", Log: zerolog.Nop(), Registry: telemetry.NewRegistry(),
		Spec: func(string) (lots.Spec, bool) { return lots.Spec{MaxStaleness: 8, LotSamples: lotSamples}, true },
	})
}

func measureLots(r *Report) error {
	r.heading("lots: one added group by samples of 3.2 KB prompt and 208 tokens")
	if err := groupsBySamples(r); err != nil {
		return err
	}
	r.heading("lots: one pull by samples of the lot, groups of 8")
	if err := pullBySamples(r); err != nil {
		return err
	}
	r.heading("lots: memory of groups that wait while the store is down, groups of 8, by samples")
	return waitingBySamples(r)
}

func groupsBySamples(r *Report) error {
	writes := newSeries("lots.writes_per_group", "samples", "1")
	rowBytes := newSeries("lots.row_bytes_per_group", "samples", "B")
	objectBytes := newSeries("lots.object_bytes_per_group", "samples", "B")
	cpu := newSeries("lots.cpu_per_group", "samples", "us")
	for _, size := range []int{1, 4, 8, 32} {
		p := memory.New(memory.Options{})
		table := newCountedTable(p.Table)
		objects := &countedObjects{Objects: p.Objects}
		store := newLotStore(table, objects, 2048)
		var err error
		const groups = 50
		cpu.add(size, costOfEach(groups, func(i int) {
			if e := store.AddGroup(context.Background(), sampleGroup(fmt.Sprintf("group-%06d", i), size)); e != nil {
				err = e
			}
		}))
		if err != nil {
			return err
		}
		writes.add(size, table.total().Writes/groups)
		rowBytes.add(size, table.total().Bytes/groups)
		objectBytes.add(size, objects.putBytes/groups)
	}
	r.print(writes, rowBytes, objectBytes, cpu)
	return nil
}

func pullBySamples(r *Report) error {
	reads := newSeries("lots.reads_per_lot", "samples", "1")
	rows := newSeries("lots.rows_read_per_lot", "samples", "1")
	writes := newSeries("lots.writes_per_lot", "samples", "1")
	content := newSeries("lots.bytes_per_lot", "samples", "B")
	cpu := newSeries("lots.cpu_per_pull", "samples", "us")
	for _, size := range []int{256, 1024, 2048} {
		p := memory.New(memory.Options{})
		table := newCountedTable(p.Table)
		store := newLotStore(table, p.Objects, size)
		for i := range size / 8 {
			if err := store.AddGroup(context.Background(), sampleGroup(fmt.Sprintf("group-%06d", i), 8)); err != nil {
				return err
			}
		}
		before := table.total()
		var data []byte
		var err error
		cpu.add(size, costOfEach(1, func(int) { _, data, err = store.Pull(context.Background(), "coach", 0, 9) }))
		if err != nil {
			return err
		}
		// The next pull acknowledges the lot and sweeps its rows.
		_, _, _ = store.Pull(context.Background(), "coach", 1, 9)
		count := table.total().minus(before)
		reads.add(size, count.Reads)
		rows.add(size, count.RowsRead)
		writes.add(size, count.Writes)
		content.add(size, float64(len(data)))
	}
	r.print(reads, rows, writes, content, cpu)
	return nil
}

func waitingBySamples(r *Report) error {
	held := newSeries("lots.memory_store_down", "samples", "B")
	for _, size := range []int{80, 320, 1280} {
		p := memory.New(memory.Options{})
		p.Table.Faults.Set(memory.Faults{Outage: true})
		p.Objects.Faults.Set(memory.Faults{Outage: true})
		store := newLotStore(p.Table, p.Objects, 2048)
		before := heapAndStackBytes()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		for i := range size / 8 {
			go func() {
				_ = store.AddGroup(ctx, sampleGroup(fmt.Sprintf("group-%06d", i), 8))
				done <- struct{}{}
			}()
		}
		for end := time.Now().Add(settleTimeout); store.Waiting() < size/8 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		held.add(size, heapAndStackBytes()-before)
		cancel()
		for range size / 8 {
			<-done
		}
	}
	r.print(held)
	return nil
}
