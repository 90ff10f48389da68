package usage

// maxGaps bounds the gaps listed per window, so that its row stays below the table's limit of 1 MiB.
const maxGaps = 2000

// SealedWindow is the final content of one window. It is written once and never changes.
type SealedWindow struct {
	// Window is the start of the window as an RFC 3339 time in UTC.
	Window string `json:"window"`
	// Reports are sorted by workspace.
	Reports []SealedReport `json:"reports"`
	// Gaps lists the sequence numbers that no batch has delivered although higher ones have arrived. Their usage is
	// reported as missing and not estimated; if they arrive after all, they count in a later window.
	Gaps []Gap `json:"gaps,omitempty"`
	// Missing counts the sequence numbers in all gaps, including gaps that Gaps leaves out.
	Missing int64 `json:"missing,omitempty"`
	// Repeated counts the records that arrived more than once.
	Repeated int64 `json:"repeated,omitempty"`
	// Unreadable counts the batch rows that could not be decoded. Their usage is in no report.
	Unreadable int64 `json:"unreadable,omitempty"`
	// Batches counts the batches of the window without the unreadable ones.
	Batches int64 `json:"batches"`
}

// SealedReport is the report of one workspace. Every attempt sends the same bytes.
type SealedReport struct {
	Workspace string `json:"workspace"`
	Body      []byte `json:"body"`
}

// Gap is a range of missing sequence numbers of one agent incarnation.
type Gap struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Range
}

func (s *SealedWindow) addGaps(p CountedIncarnation) {
	for _, gap := range p.Ranges.Gaps() {
		s.Missing += gap.Last - gap.First + 1
		if len(s.Gaps) < maxGaps {
			s.Gaps = append(s.Gaps, Gap{Agent: p.Agent, Incarnation: p.Incarnation, Range: gap})
		}
	}
}
