package standin2

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the platform publishes them.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxRowBytes   = 65536
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	txnTime       = 5 * time.Millisecond
	readTime      = 4 * time.Millisecond
)

// RowKey identifies a row.
type RowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// Row is a stored row, or an entry of a transaction.
type Row struct {
	RowKey
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Txn is the body of a transaction.
type Txn struct {
	Conditions []Row    `json:"expected_rev"`
	Puts       []Row    `json:"put"`
	Deletes    []RowKey `json:"remove"`
}

type reply struct {
	Rows      []Row    `json:"rows,omitempty"`
	Parts     []string `json:"parts,omitempty"`
	Truncated bool     `json:"truncated,omitempty"`
	Version   int64    `json:"ver"`
	NowMS     int64    `json:"now_ms"`
}

// Verdict says what the store does with a call.
type Verdict int

// Verdicts.
const (
	// Serve serves the call.
	Serve Verdict = iota
	// Refuse answers 503 without effect.
	Refuse
	// Lose performs the call and closes the connection without an answer.
	Lose
	// Silence neither performs nor answers the call until its caller gives up.
	Silence
)

// Store is the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rows    map[RowKey]Row
	history []Row
	version int64
	started time.Time
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// Gate decides about each call of the system; nil serves all. from is the name of the calling host.
	Gate func(from, path string, txn *Txn) Verdict
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows: map[RowKey]Row{}, version: 1, started: time.Now(), changed: make(chan struct{}), parts: map[string]*sync.Mutex{},
	}
}

// Put writes a row with an empty part, as the operator and the upstreams do.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Txn{Puts: []Row{{RowKey: RowKey{Table: table, Key: key}, Value: value}}})
}

// Remove removes a row with an empty part.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Txn{Deletes: []RowKey{{Table: table, Key: key}}})
}

// apply performs a transaction. The caller holds the lock.
func (s *Store) apply(t Txn) (current []Row, ok bool) {
	ok = true
	for _, c := range t.Conditions {
		row, found := s.rows[c.RowKey]
		if found {
			current = append(current, row)
		}
		ok = ok && row.Version == c.Version
	}
	if !ok {
		return current, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Version = s.version
		s.rows[p.RowKey] = p
		s.history = append(s.history, p)
	}
	for _, d := range t.Deletes {
		if _, found := s.rows[d]; found {
			delete(s.rows, d)
			s.history = append(s.history, Row{RowKey: d, Version: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *Store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

// Handler returns the handler of the calls of one host.
func (s *Store) Handler(from string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h func(w http.ResponseWriter, r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if s.Gate != nil && !strings.HasSuffix(r.URL.Path, "rows-tx") && !s.pass(w, r, s.Gate(from, r.URL.Path, nil)) {
				return
			}
			status, body := h(w, r)
			if status != 0 {
				writeJSON(w, status, body)
			}
		})
	}
	handle("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) (int, any) { return s.commit(from, w, r) })
	handle("GET /-/rows-get", s.get)
	handle("GET /-/rows-parts", s.listParts)
	handle("GET /-/rows-feed", s.feed)
	return mux
}

// pass reports whether a call is to be served; otherwise it has been answered.
func (s *Store) pass(w http.ResponseWriter, r *http.Request, v Verdict) bool {
	switch v {
	case Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Silence:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) commit(from string, w http.ResponseWriter, r *http.Request) (int, any) {
	var t Txn
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxTxnBytes)).Decode(&t) != nil {
		return http.StatusBadRequest, reply{}
	}
	size, parts := 0, map[string]bool{}
	for _, c := range t.Conditions {
		parts[c.Part] = true
	}
	for _, p := range t.Puts {
		parts[p.Part] = true
		size += len(p.Value)
		if len(p.Value) > maxRowBytes || p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, reply{}
		}
	}
	for _, d := range t.Deletes {
		parts[d.Part] = true
	}
	if len(parts) > 1 || len(t.Conditions)+len(t.Puts)+len(t.Deletes) > maxTxnEntries || size > maxTxnBytes {
		return http.StatusBadRequest, reply{}
	}
	verdict := Serve
	if s.Gate != nil {
		verdict = s.Gate(from, r.URL.Path, &t)
	}
	if !s.pass(w, r, verdict) {
		return 0, nil
	}
	part := ""
	for p := range parts {
		part = p
	}
	s.mu.Lock()
	turn, ok := s.parts[part]
	if !ok {
		turn = &sync.Mutex{}
		s.parts[part] = turn
	}
	s.mu.Unlock()
	turn.Lock()
	time.Sleep(txnTime)
	s.mu.Lock()
	current, done := s.apply(t)
	body := reply{Version: s.version, NowMS: s.nowMS(), Rows: current}
	s.mu.Unlock()
	turn.Unlock()
	if verdict == Lose {
		panic(http.ErrAbortHandler)
	}
	if !done {
		return http.StatusPreconditionFailed, body
	}
	return http.StatusOK, body
}

func (s *Store) get(_ http.ResponseWriter, r *http.Request) (int, any) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Row
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	body := reply{Version: s.version, NowMS: s.nowMS(), Rows: []Row{}}
	size := 0
	for _, row := range list {
		if size += len(row.Value); len(body.Rows) == limit || len(body.Rows) > 0 && size > maxPageBytes {
			body.Truncated = true
			break
		}
		body.Rows = append(body.Rows, row)
	}
	return http.StatusOK, body
}

func (s *Store) listParts(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	body := reply{Version: s.version, NowMS: s.nowMS()}
	for k := range s.rows {
		if k.Table == q.Get("table") && k.Part > q.Get("after") && !slices.Contains(body.Parts, k.Part) {
			body.Parts = append(body.Parts, k.Part)
		}
	}
	slices.Sort(body.Parts)
	return http.StatusOK, body
}

func (s *Store) feed(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		body := reply{Version: s.version, NowMS: s.nowMS(), Rows: []Row{}}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(row Row, v int64) int {
			switch {
			case row.Version < v:
				return -1
			case row.Version > v:
				return 1
			}
			return 0
		})
		for _, row := range s.history[from:] {
			if row.Table == q.Get("table") {
				body.Rows = append(body.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(body.Rows) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, body
		case <-r.Context().Done():
			return 0, nil
		}
	}
}
