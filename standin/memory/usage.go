package memory

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/hosting"
)

const opReport = "usage report"

// AcceptedReport is a usage report that the sink accepted.
type AcceptedReport struct {
	hosting.UsageReport
	// Received is the number of arrivals with the same body, Conflicts the number of arrivals with a different body.
	Received  int `json:"received"`
	Conflicts int `json:"conflicts"`
}

// UsageSink accepts usage reports. It refuses a report whose ID was accepted before with a different body.
type UsageSink struct {
	Faults FaultInjector

	mu   sync.Mutex
	byID map[string]*AcceptedReport
	ids  []string
}

func newUsageSink() *UsageSink { return &UsageSink{byID: make(map[string]*AcceptedReport)} }

// Report implements hosting.UsageSink.
func (u *UsageSink) Report(ctx context.Context, report hosting.UsageReport) error {
	if err := checkKey(opReport, report.ID); err != nil {
		return err
	}
	if len(report.Body) > MaxValueBytes {
		return invalid(opReport, "the body is too large", "send totals instead of single records")
	}
	if err := u.Faults.beforeCall(ctx, opReport); err != nil {
		return err
	}
	if err := u.accept(report); err != nil {
		return err
	}
	return u.Faults.afterWrite(opReport)
}

func (u *UsageSink) accept(report hosting.UsageReport) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	accepted, ok := u.byID[report.ID]
	if !ok {
		report.Body = bytes.Clone(report.Body)
		u.byID[report.ID] = &AcceptedReport{UsageReport: report, Received: 1}
		u.ids = append(u.ids, report.ID)
		return nil
	}
	if !bytes.Equal(accepted.Body, report.Body) {
		accepted.Conflicts++
		return &hosting.Error{
			Kind: hosting.KindConflict, Op: opReport, Err: errors.New("report " + report.ID + " exists with another body"),
			Remedy: "send the sealed body unchanged, byte for byte",
		}
	}
	accepted.Received++
	return nil
}

// List returns all reports in the sequence in which they first took effect.
func (u *UsageSink) List() []AcceptedReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	reports := make([]AcceptedReport, 0, len(u.ids))
	for _, id := range u.ids {
		accepted := *u.byID[id]
		accepted.Body = slices.Clone(accepted.Body)
		reports = append(reports, accepted)
	}
	return reports
}
