package trainer

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
)

// LotReport describes one lot that was trained on.
type LotReport struct {
	Number   int64   `json:"number"`
	Step     int64   `json:"step"`
	Samples  int     `json:"samples"`
	Versions []int64 `json:"versions"`
	// MaxStaleness is the highest staleness of a sample, in weight versions, when the lot was trained on.
	MaxStaleness int64 `json:"max_staleness"`
}

// Report summarizes what the trainer has received since the process started.
type Report struct {
	// Acknowledged is the number of the last lot trained on or skipped, Step the current weight version.
	Acknowledged int64       `json:"acknowledged"`
	Step         int64       `json:"step"`
	Lots         []LotReport `json:"lots"`
	Samples      int         `json:"samples"`
	// Duplicates are the ids of the samples that were trained on more than once.
	Duplicates []string `json:"duplicates"`
	// ChangedLots are the numbers of the lots whose content differed when they were pulled again.
	ChangedLots []int64 `json:"changed_lots"`
	VoidLots    []int64 `json:"void_lots"`
	Published   []int64 `json:"published"`
	// IdleSeconds is the time spent without a lot to train on.
	IdleSeconds  float64 `json:"idle_seconds"`
	MaxStaleness int64   `json:"max_staleness"`
	// MeanStaleness is the mean staleness of the samples trained on, in weight versions.
	MeanStaleness float64 `json:"mean_staleness"`
	Restarts      int     `json:"restarts"`
	Errors        int     `json:"errors"`
}

// reportCollector records what the trainer receives and builds the report. It is safe for concurrent use.
type reportCollector struct {
	mu             sync.Mutex
	report         Report
	trainCounts    map[string]int
	hashes         map[int64][sha256.Size]byte
	totalStaleness int64
	idle           time.Duration
}

func newReportCollector() *reportCollector {
	empty := Report{
		Lots: []LotReport{}, Duplicates: []string{}, ChangedLots: []int64{}, VoidLots: []int64{}, Published: []int64{},
	}
	return &reportCollector{report: empty, trainCounts: map[string]int{}, hashes: map[int64][sha256.Size]byte{}}
}

// update calls f on the report with the lock held.
func (c *reportCollector) update(f func(r *Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.report)
}

// recordPull records a pulled lot and the time spent waiting for it. A lot whose content differs from an earlier pull of the
// same number is added to ChangedLots.
func (c *reportCollector) recordPull(number int64, content []byte, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle += idle
	hash := sha256.Sum256(content)
	if first, ok := c.hashes[number]; ok && first != hash {
		c.report.ChangedLots = append(c.report.ChangedLots, number)
	}
	c.hashes[number] = hash
}

// recordTrained records a lot that was trained on at the given step.
func (c *reportCollector) recordTrained(content lots.Content, step int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lot := LotReport{Number: content.Number, Step: step, Samples: len(content.Samples), Versions: content.Versions}
	for _, s := range content.Samples {
		staleness := samples.Staleness(step, s.OldestVersion())
		lot.MaxStaleness = max(lot.MaxStaleness, staleness)
		c.totalStaleness += staleness
		c.trainCounts[s.ID]++
		if c.trainCounts[s.ID] == 2 {
			c.report.Duplicates = append(c.report.Duplicates, s.ID)
		}
	}
	c.report.Lots = append(c.report.Lots, lot)
	c.report.Samples += len(content.Samples)
	c.report.MaxStaleness = max(c.report.MaxStaleness, lot.MaxStaleness)
}

// snapshot returns the current report.
func (c *reportCollector) snapshot() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.IdleSeconds = c.idle.Seconds()
	if r.Samples > 0 {
		r.MeanStaleness = float64(c.totalStaleness) / float64(r.Samples)
	}
	return r
}

func (c *reportCollector) sampleIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.trainCounts))
	for id := range c.trainCounts {
		ids = append(ids, id)
	}
	return ids
}

func (c *reportCollector) addIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle += d
}
