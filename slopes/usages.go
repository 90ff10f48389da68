package slopes

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

// recordIncarnation has the length of a real one.
const recordIncarnation = "0b6e9f0a-1f0c-4f7e-9a55-3e1c7e1d9a10"

func usageRecord(i int, at time.Time) usage.Record {
	return usage.Record{
		RequestID: fmt.Sprintf("4f0c2b1e-8d1a-4c44-9a55-%012d", i), Workspace: "workspace-" + strconv.Itoa(i%100),
		Policy: "planner", PromptTokens: 800, CompletionTokens: 208, FinishedAt: at,
	}
}

func measureUsage(r *Report) error {
	r.heading("usage: recorder, flush and retainer by records")
	if err := usageByRecords(r); err != nil {
		return err
	}
	r.heading("usage: one flush round by agents, 100 records each")
	if err := usageByAgents(r); err != nil {
		return err
	}
	r.heading("usage: seal of one window, 50 agents that flush every 20 s, 20 records each, by window length")
	return usageByWindow(r)
}

func usageByRecords(r *Report) error {
	recorderMemory := newSeries("usage.memory_recorder", "records", "B")
	retainerMemory := newSeries("usage.memory_retainer", "records", "B")
	bytes := newSeries("usage.bytes_per_flush", "records", "B")
	writes := newSeries("usage.writes_per_flush", "records", "1")
	cpu := newSeries("usage.cpu_per_flush", "records", "us")
	now := time.Now()
	for _, size := range []int{100, 400, 1000, 4000} {
		before := heapBytes()
		recorder := usage.NewRecorder("engine-0001", recordIncarnation)
		for i := range size {
			recorder.Add(usageRecord(i, now))
		}
		recorderMemory.add(size, heapBytes()-before)
		table := newCountedTable(memory.New(memory.Options{}).Table)
		var err error
		cpu.add(size, costOfEach(1, func(int) { err = flush(table, recorder) }))
		if err != nil {
			return err
		}
		bytes.add(size, table.total().Bytes)
		writes.add(size, table.total().Writes)
		before = heapBytes()
		retainer := usage.NewRetainer("entry-1", maxRetained)
		for i := range size {
			record := usageRecord(i, now)
			retainer.Retain(record.RequestID, record.Workspace, record.Policy, dataplane.Result{
				Upstream: "engine-" + strconv.Itoa(i%20), Incarnation: recordIncarnation, UsageSeq: int64(i/20 + 1),
				PromptTokens: 800, CompletionTokens: 208, Spans: []dataplane.Span{{Version: 9, Tokens: 208}},
			}, now)
		}
		retainerMemory.add(size, heapBytes()-before)
		runtime.KeepAlive(retainer)
	}
	r.print(recorderMemory, retainerMemory, bytes, writes, cpu)
	return nil
}

func usageByAgents(r *Report) error {
	writes := newSeries("usage.writes_per_round", "agents", "1")
	bytes := newSeries("usage.bytes_per_round", "agents", "B")
	for _, size := range []int{10, 50, 200} {
		table := newCountedTable(memory.New(memory.Options{}).Table)
		for a := range size {
			recorder := usage.NewRecorder("engine-"+strconv.Itoa(a), recordIncarnation)
			for i := range 100 {
				recorder.Add(usageRecord(i, time.Now()))
			}
			if err := flush(table, recorder); err != nil {
				return err
			}
		}
		writes.add(size, table.total().Writes)
		bytes.add(size, table.total().Bytes)
	}
	r.print(writes, bytes)
	return nil
}

func flush(table hosting.Table, recorder *usage.Recorder) error {
	flusher := usagestore.NewFlusher("agent", usagestore.NewWriter(table, recorder.Window, time.Now),
		usagestore.FromRecorder(recorder), usagestore.FlusherOptions{}, zerolog.Nop(), telemetry.NewRegistry())
	return flusher.Flush(context.Background())
}

func usageByWindow(r *Report) error {
	reads := newSeries("usage.seal_reads", "window_seconds", "1")
	rows := newSeries("usage.seal_rows_read", "window_seconds", "1")
	writes := newSeries("usage.seal_writes", "window_seconds", "1")
	cpu := newSeries("usage.seal_cpu", "window_seconds", "us")
	for _, seconds := range []int{60, 300, 900, 1800} {
		count, spent, err := sealWindow(50, seconds)
		if err != nil {
			return err
		}
		reads.add(seconds, count.Reads)
		rows.add(seconds, count.RowsRead)
		writes.add(seconds, count.Writes)
		cpu.add(seconds, spent)
	}
	r.print(reads, rows, writes, cpu)
	return nil
}

// sealWindow writes the batches of a window and lets a reporter close, seal and report it.
func sealWindow(agents, seconds int) (tableCount, float64, error) {
	p := memory.New(memory.Options{})
	table := newCountedTable(p.Table)
	window := usage.Window{Length: time.Duration(seconds) * time.Second}
	start := window.Start(time.Now())
	writer := usagestore.NewWriter(table, func() usage.Window { return window }, func() time.Time { return start })
	for a := range agents {
		for n := range seconds / 20 {
			batch := usage.Batch{Agent: "engine-" + strconv.Itoa(a), Incarnation: recordIncarnation, Number: int64(n*20 + 1)}
			for i := range 20 {
				record := usageRecord(i, start)
				record.Seq = int64(n*20 + i + 1)
				batch.Records = append(batch.Records, record)
			}
			if err := writer.Write(context.Background(), batch); err != nil {
				return tableCount{}, 0, err
			}
		}
	}
	reporter := usagestore.NewReporter(usagestore.ReporterOptions{
		Table: table, Sink: p.Usage, Authority: alwaysHolder{}, Window: func() usage.Window { return window },
		Now: func() time.Time { return window.End(start).Add(2 * time.Minute) }, Log: zerolog.Nop(),
		Registry: telemetry.NewRegistry(),
	})
	before := table.total()
	var err error
	spent := costOfEach(1, func(int) { err = reporter.Step(context.Background()) })
	return table.total().minus(before), spent, err
}

// alwaysHolder holds the role without a lease.
type alwaysHolder struct{}

func (alwaysHolder) MayAct(time.Time) (int64, bool) { return 1, true }

func (alwaysHolder) Guard() (hosting.Condition, bool) {
	return hosting.Condition{Key: "term/usage"}, true
}
