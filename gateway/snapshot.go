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

// Snapshot is the content of this service's tables.
type Snapshot struct {
	Rows []hosting.StoredRow `json:"rows"`
}

// snapshotTables lists this service's tables and whether they are partitioned.
var snapshotTables = []struct {
	name        string
	partitioned bool
}{
	{heartbeatTable, false}, {jobTable, true}, {contentTable, true}, {resultTable, true}, {progressTable, true}, {carryoverTable, true},
	{leaseTable, false}, {usageTable, false}, {sealedUsageTable, false},
}

// ReadSnapshot reads this service's tables one after the other. A running system may change them meanwhile.
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
			list, _, err := readRange(ctx, rows, r, func(time.Duration) {})
			if err != nil {
				return nil, err
			}
			s.Rows = append(s.Rows, list...)
		}
	}
	return s, nil
}

// ReadUpstreams reads the registry entries that upstreams wrote about themselves. The keys of entries that cannot be
// decoded are returned as unreadable.
func ReadUpstreams(ctx context.Context, rows hosting.Rows, codec Codec) (list []upstreams.Entry, unreadable []string, err error) {
	r := hosting.RowRange{Table: codec.UpstreamTable()}
	read, _, err := readRange(ctx, rows, r, func(time.Duration) {})
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

// LoadSnapshot decodes a snapshot that Write has written.
func LoadSnapshot(r io.Reader) (*Snapshot, error) {
	var s Snapshot
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("snapshot: %w; use a file written by the snapshot command", err)
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

// JobStatus is the state of a job in the store.
type JobStatus struct {
	ID string
	batch.Record
}

// Jobs returns the jobs whose records can be decoded.
func (s *Snapshot) Jobs() []JobStatus {
	var list []JobStatus
	for _, r := range s.table(jobTable) {
		j := JobStatus{ID: r.Key}
		if json.Unmarshal(r.Value, &j.Record) == nil {
			list = append(list, j) // Check reports the others
		}
	}
	return list
}

// Heartbeats returns the heartbeats of the gateway processes.
func (s *Snapshot) Heartbeats() []presence.Heartbeat {
	var list []presence.Heartbeat
	for _, r := range s.table(heartbeatTable) {
		var b presence.Heartbeat
		if json.Unmarshal(r.Value, &b) == nil {
			list = append(list, b) // Check reports the others
		}
	}
	return list
}

// Duties returns the lease of the duties, if there is one that can be decoded.
func (s *Snapshot) Duties() (lease.Record, bool) {
	for _, r := range s.table(leaseTable) {
		var record lease.Record
		if r.Key == leaseKey.Key && json.Unmarshal(r.Value, &record) == nil {
			return record, true
		}
	}
	return lease.Record{}, false
}

// Check returns the violations of the tables' invariants, each with the row that causes it.
func (s *Snapshot) Check() []string {
	c := &snapshotCheck{}
	for _, r := range s.table(heartbeatTable) {
		c.decode(r, &presence.Heartbeat{})
	}
	for _, r := range s.table(leaseTable) {
		c.decode(r, &lease.Record{})
	}
	for _, table := range []string{usageTable, sealedUsageTable} {
		for _, r := range s.table(table) {
			c.usage(r)
		}
	}
	for _, r := range s.table(jobTable) {
		c.job(s, r)
	}
	return c.violations
}

type snapshotCheck struct {
	violations []string
}

func (c *snapshotCheck) report(r hosting.StoredRow, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s/%s/%s: ", r.Table, r.Part, r.Key)+fmt.Sprintf(format, args...))
}

func (c *snapshotCheck) decode(r hosting.StoredRow, into any) bool {
	if err := json.Unmarshal(r.Value, into); err != nil {
		c.report(r, "cannot be read: %v", err)
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
			c.report(r, "workspace %s has a negative number of requests: %d", workspace, n)
		}
	}
}

func (c *snapshotCheck) job(s *Snapshot, r hosting.StoredRow) {
	var record batch.Record
	if !c.decode(r, &record) {
		return
	}
	if r.Part != jobPartition(r.Key) {
		c.report(r, "is in the wrong partition; expected %s", jobPartition(r.Key))
	}
	if record.Listed < 0 || record.Listed > record.Total {
		c.report(r, "%d of %d items are listed", record.Listed, record.Total)
	}
	if n := record.Done.Count(); n != record.Listed {
		c.report(r, "marks %d items as listed but counts %d", n, record.Listed)
	}
	chunks := 0
	for _, row := range s.table(contentTable) {
		if strings.HasPrefix(row.Key, r.Key+"/") {
			chunks++
		}
	}
	if chunks != record.Chunks {
		c.report(r, "has %d of %d rows of its content", chunks, record.Chunks)
	}
	c.positions(s, r, record)
}

// positions checks that the listed results are stored at the positions from 0 on, each item once.
func (c *snapshotCheck) positions(s *Snapshot, r hosting.StoredRow, record batch.Record) {
	seen := map[string]bool{}
	position := 0
	for _, row := range s.table(resultTable) {
		name, ok := strings.CutPrefix(row.Key, r.Key+"/")
		if !ok || strings.Contains(name, "+") {
			continue
		}
		if row.Key != resultKey(r.Key, position).Key {
			c.report(row, "is stored where position %d is expected", position)
		}
		position++
		var result batch.Result
		if json.Unmarshal(row.Value, &result) != nil {
			continue // the result spans several rows
		}
		if seen[result.ID] {
			c.report(row, "item %s is listed twice", result.ID)
		}
		seen[result.ID] = true
	}
	if position != record.Listed {
		c.report(r, "counts %d listed results but %d are stored", record.Listed, position)
	}
}
