package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Snapshot is the content of the product's tables.
type Snapshot struct {
	Rows []hosting.StoredRow `json:"rows"`
}

// snapshotTables are the tables of the product, with whether they are partitioned.
var snapshotTables = []struct {
	name        string
	partitioned bool
}{
	{beatTable, false}, {jobTable, true}, {contentTable, true}, {resultTable, true}, {progressTable, true}, {leftTable, true},
	{leaseTable, false}, {usageTable, false}, {sealedTable, false},
}

// ReadSnapshot reads the product's tables one after the other; a running system changes meanwhile.
func ReadSnapshot(ctx context.Context, rows hosting.Rows) (*Snapshot, error) {
	s := &Snapshot{}
	for _, table := range snapshotTables {
		parts := []string{""}
		if table.partitioned {
			var err error
			if parts, err = rows.Parts(ctx, table.name); err != nil {
				return nil, err
			}
		}
		for _, part := range parts {
			r := hosting.RowRange{Table: table.name, Part: part}
			list, _, err := readPart(ctx, rows, r, func(time.Duration) {})
			if err != nil {
				return nil, err
			}
			s.Rows = append(s.Rows, list...)
		}
	}
	return s, nil
}

// ReadUpstreams reads the entries that upstreams wrote about themselves. Rows that cannot be read are returned by their keys.
func ReadUpstreams(ctx context.Context, rows hosting.Rows, codec Codec) (list []upstreams.Entry, unreadable []string, err error) {
	r := hosting.RowRange{Table: codec.UpstreamTable()}
	read, _, err := readPart(ctx, rows, r, func(time.Duration) {})
	if err != nil {
		return nil, nil, err
	}
	for _, row := range read {
		e, err := codec.DecodeUpstream(row.Key, row.Value)
		if err != nil {
			unreadable = append(unreadable, row.Key)
			continue
		}
		list = append(list, e)
	}
	return list, unreadable, nil
}

// LoadSnapshot reads a snapshot that Write has written.
func LoadSnapshot(r io.Reader) (*Snapshot, error) {
	var s Snapshot
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("snapshot: %w; give a file that the snapshot command has written", err)
	}
	return &s, nil
}

// Write writes the snapshot as JSON.
func (s *Snapshot) Write(w io.Writer) error { return json.NewEncoder(w).Encode(s) }

// table returns the rows of a table.
func (s *Snapshot) table(name string) []hosting.StoredRow {
	var list []hosting.StoredRow
	for _, r := range s.Rows {
		if r.Table == name {
			list = append(list, r)
		}
	}
	return list
}

// JobStatus is a job as the store shows it.
type JobStatus struct {
	ID string
	batch.Record
}

// Jobs returns the jobs whose records can be read.
func (s *Snapshot) Jobs() []JobStatus {
	var list []JobStatus
	for _, r := range s.table(jobTable) {
		j := JobStatus{ID: r.Key}
		if json.Unmarshal(r.Value, &j.Record) == nil {
			list = append(list, j) // Check names the others
		}
	}
	return list
}

// Entries returns the heartbeats of the processes.
func (s *Snapshot) Entries() []presence.Heartbeat {
	var list []presence.Heartbeat
	for _, r := range s.table(beatTable) {
		var b presence.Heartbeat
		if json.Unmarshal(r.Value, &b) == nil {
			list = append(list, b) // Check names the others
		}
	}
	return list
}

// Duties returns the lease of the duties.
func (s *Snapshot) Duties() (lease.Record, bool) {
	for _, r := range s.table(leaseTable) {
		var record lease.Record
		if r.Key == leaseKey.Key && json.Unmarshal(r.Value, &record) == nil {
			return record, true
		}
	}
	return lease.Record{}, false
}

// Check returns what breaks an invariant of the tables, each with the row that breaks it.
func (s *Snapshot) Check() []string {
	c := &snapshotCheck{}
	for _, r := range s.table(beatTable) {
		c.decode(r, &presence.Heartbeat{})
	}
	for _, r := range s.table(leaseTable) {
		c.decode(r, &lease.Record{})
	}
	for _, table := range []string{usageTable, sealedTable} {
		for _, r := range s.table(table) {
			c.usage(r)
		}
	}
	for _, r := range s.table(jobTable) {
		c.job(s, r)
	}
	return c.faults
}

type snapshotCheck struct {
	faults []string
}

func (c *snapshotCheck) fault(r hosting.StoredRow, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%s/%s/%s: ", r.Table, r.Part, r.Key)+fmt.Sprintf(format, args...))
}

func (c *snapshotCheck) decode(r hosting.StoredRow, into any) bool {
	if err := json.Unmarshal(r.Value, into); err != nil {
		c.fault(r, "cannot be read: %v", err)
		return false
	}
	return true
}

func (c *snapshotCheck) usage(r hosting.StoredRow) {
	var w windowCounts
	if !c.decode(r, &w) {
		return
	}
	for workspace, n := range w.Counts {
		if n < 0 {
			c.fault(r, "workspace %s has %d requests", workspace, n)
		}
	}
}

func (c *snapshotCheck) job(s *Snapshot, r hosting.StoredRow) {
	var record batch.Record
	if !c.decode(r, &record) {
		return
	}
	if r.Part != jobPart(r.Key) {
		c.fault(r, "is in a partition where nobody looks for it; expected %s", jobPart(r.Key))
	}
	if record.Listed < 0 || record.Listed > record.Total {
		c.fault(r, "%d of %d items are listed", record.Listed, record.Total)
	}
	if n := record.Done.Count(); n != record.Listed {
		c.fault(r, "names %d listed items and counts %d", n, record.Listed)
	}
	chunks := 0
	for _, row := range s.table(contentTable) {
		if strings.HasPrefix(row.Key, r.Key+"/") {
			chunks++
		}
	}
	if chunks != record.Chunks {
		c.fault(r, "has %d of %d rows of its content", chunks, record.Chunks)
	}
	c.positions(s, r, record)
}

// positions checks that the listed results stand at the positions from 0 on, each item once.
func (c *snapshotCheck) positions(s *Snapshot, r hosting.StoredRow, record batch.Record) {
	seen := map[string]bool{}
	position := 0
	for _, row := range s.table(resultTable) {
		name, ok := strings.CutPrefix(row.Key, r.Key+"/")
		if !ok || strings.Contains(name, "+") {
			continue
		}
		if row.Key != positionKey(r.Key, position).Key {
			c.fault(row, "stands where position %d is expected", position)
		}
		position++
		var result batch.Result
		if json.Unmarshal(row.Value, &result) != nil {
			continue // a result of several rows
		}
		if seen[result.ID] {
			c.fault(row, "item %s has a second position", result.ID)
		}
		seen[result.ID] = true
	}
	if position != record.Listed {
		c.fault(r, "lists %d results and has %d", record.Listed, position)
	}
}
