package httpapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against differences in behavior between the in-memory platform and the HTTP client, which would hide faults in
// tests that use only one of them.
func TestConformance(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		mem := memory.New(memory.Options{CheckTerms: true, HostLag: time.Hour})
		testServices(t, mem, mem.Services())
	})
	t.Run("http", func(t *testing.T) {
		mem := memory.New(memory.Options{CheckTerms: true, HostLag: time.Hour})
		server := httptest.NewServer(NewHandler(mem.Services()))
		defer server.Close()
		testServices(t, mem, NewServices(server.Listener.Addr().String(), Options{Timeout: 2 * time.Second}))
	})
}

func testServices(t *testing.T, mem *memory.Platform, s hosting.Services) {
	t.Run("table", func(t *testing.T) { testTable(t, mem, s.Table) })
	t.Run("objects", func(t *testing.T) {
		ctx := t.Context()
		requireKind(t, s.Objects.Put(ctx, "", []byte("x")), hosting.KindInvalid)
		requireNoError(t, s.Objects.Put(ctx, "a/b c", []byte{0, 1, 255}))
		got, err := s.Objects.Get(ctx, "a/b c")
		if err != nil || !bytes.Equal(got, []byte{0, 1, 255}) {
			t.Fatalf("Get = %v, %v", got, err)
		}
		_, err = s.Objects.Get(ctx, "missing")
		requireKind(t, err, hosting.KindNotFound)
	})
	t.Run("orders", func(t *testing.T) {
		ctx := t.Context()
		order := hosting.Order{ID: "o1", DataCentre: "wien", Kind: "engine", Count: 3, Term: 5}
		mem.Orders.Faults.Set(memory.Faults{LoseReplies: 1})
		requireKind(t, s.Orders.Place(ctx, order), hosting.KindUnknown)
		if got, err := s.Orders.Lookup(ctx, "o1"); err != nil || got != order {
			t.Fatalf("Lookup after a lost reply = %v, %v", got, err)
		}
		order.Term = 6
		requireNoError(t, s.Orders.Place(ctx, order))
		order.Term = 4
		requireKind(t, s.Orders.Place(ctx, order), hosting.KindFenced)
		order.Term, order.Count = 6, 9
		requireKind(t, s.Orders.Place(ctx, order), hosting.KindConflict)
		if list := mem.Orders.List(); len(list) != 1 || list[0].Received != 2 {
			t.Errorf("List = %+v; want one order received twice", list)
		}
	})
	t.Run("usage", func(t *testing.T) {
		ctx := t.Context()
		report := hosting.UsageReport{ID: "w/a", Workspace: "a", Window: "w", Body: []byte("7"), Term: 1}
		requireNoError(t, s.Usage.Report(ctx, report))
		requireNoError(t, s.Usage.Report(ctx, report))
		report.Body = []byte("8")
		requireKind(t, s.Usage.Report(ctx, report), hosting.KindConflict)
	})
	t.Run("hosts", func(t *testing.T) {
		mem.Hosts.Set([]hosting.Host{{Name: "h1"}})
		if list, err := s.Hosts.List(t.Context()); err != nil || len(list) != 0 {
			t.Errorf("List = %v, %v; want the list from before the lag", list, err)
		}
	})
	t.Run("weights", func(t *testing.T) {
		blob := bytes.Repeat([]byte("weight"), 1<<16)
		mem.Weights.Put("fares", 3, blob)
		r, err := s.Weights.Open(t.Context(), "fares", 3)
		requireNoError(t, err)
		defer r.Close()
		if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, blob) {
			t.Errorf("read %d bytes, %v; want %d", len(got), err, len(blob))
		}
		_, err = s.Weights.Open(t.Context(), "fares", 4)
		requireKind(t, err, hosting.KindNotFound)
	})
}

func testTable(t *testing.T, mem *memory.Platform, table hosting.Table) {
	ctx := t.Context()
	first, err := table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: "k/1"}},
		Puts:       []hosting.Put{{Key: "k/1", Value: []byte("a")}, {Key: "k/2", Value: []byte("b")}, {Key: "l", Value: nil}},
	})
	if err != nil || !first.Committed || first.Revision < 1 {
		t.Fatalf("Commit = %+v, %v", first, err)
	}
	failed, err := table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: "k/1"}}, Deletes: []string{"k/2"},
	})
	if err != nil || failed.Committed || len(failed.Current) != 1 || string(failed.Current[0].Value) != "a" {
		t.Fatalf("Commit with a failed condition = %+v, %v", failed, err)
	}
	rows, err := table.Scan(ctx, "k/", "k/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "k/2" || rows[0].Revision != first.Revision {
		t.Fatalf("Scan = %+v, %v", rows, err)
	}
	_, err = table.Commit(ctx, hosting.Txn{Puts: []hosting.Put{{Key: "x"}}, Deletes: []string{"x"}})
	requireKind(t, err, hosting.KindInvalid)
	mem.Table.Faults.Set(memory.Faults{Outage: true})
	_, err = table.Commit(ctx, hosting.Txn{Deletes: []string{"k/1"}})
	requireKind(t, err, hosting.KindUnavailable)
	mem.Table.Faults.Set(memory.Faults{LoseReplies: 1})
	_, err = table.Commit(ctx, hosting.Txn{Deletes: []string{"k/1"}})
	requireKind(t, err, hosting.KindUnknown)
	_, err = table.Get(ctx, "k/1")
	requireKind(t, err, hosting.KindNotFound)
}

// Guards against a write that may have reached the server being reported as one without effect: a refused connection
// gives KindUnavailable, a timeout on an established connection gives KindUnknown.
func TestFailureKinds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	address := listener.Addr().String()
	requireNoError(t, listener.Close())
	_, err = NewServices(address, Options{}).Table.Commit(t.Context(), hosting.Txn{})
	requireKind(t, err, hosting.KindUnavailable)

	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer unresponsive.Close()
	defer close(release)
	s := NewServices(unresponsive.Listener.Addr().String(), Options{Timeout: 50 * time.Millisecond})
	_, err = s.Table.Commit(context.Background(), hosting.Txn{})
	requireKind(t, err, hosting.KindUnknown)
	_, err = s.Table.Get(context.Background(), "k")
	requireKind(t, err, hosting.KindUnavailable)
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func requireKind(t *testing.T, err error, kind hosting.ErrorKind) {
	t.Helper()
	if !hosting.IsKind(err, kind) {
		t.Fatalf("error %v; want kind %v", err, kind)
	}
}
