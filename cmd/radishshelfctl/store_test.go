package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/platform"
	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Guards against a status that omits what the store holds, and broken rows that are not reported.
func TestStoreCommands(t *testing.T) {
	store := rows.New()
	server := httptest.NewServer(platformtest.NewStoreHandler(store))
	t.Cleanup(server.Close)
	upstream := &platformtest.Upstream{ID: "e1", Service: "engines"}
	upstream.SetVersions(map[string]int64{"fares": 7})
	table := platform.Codec{}.UpstreamTable()
	store.Put(table, "e1", upstream.Entry("127.0.0.1:9", "north-1", 1))
	store.Put(table, "e2", []byte("not an entry"))
	store.Put("leases", "duties", []byte(`{"holder":"a#1","term":4,"renewal":2}`))
	snapshot := filepath.Join(t.TempDir(), "snapshot.json")
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"rows":[{"Table":"leases","Key":"duties","Value":"eA=="}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		args string
		code int
		want []string
	}{
		{"store status", 0, []string{"a#1 under term 4", "fares 7", "e2", "cannot be read"}},
		{"store snapshot " + snapshot, 0, []string{"1 rows, no fault"}},
		{"store check " + snapshot, 0, []string{"no fault"}},
		{"store check " + broken, 1, []string{"leases//duties: cannot be read"}},
		{"store check /nonexistent", 1, []string{"no such file"}},
	} {
		var out bytes.Buffer
		args := append(strings.Fields(step.args), "--store", server.Listener.Addr().String())
		code := execute(t.Context(), args, &out, &out)
		for _, want := range step.want {
			if code != step.code || !strings.Contains(out.String(), want) {
				t.Errorf("%s: exit code %d and output %q; want %d and %q", step.args, code, out.String(), step.code, want)
			}
		}
	}
}
