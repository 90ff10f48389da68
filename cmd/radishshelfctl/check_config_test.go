package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/platform"
	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

const checkedConfig = `{"version":4,"routes":[
{"name":"quote","host":"api.example","path_prefix":"/quote/","kind":"idempotent","service":"desk","max_attempts":3,
 "target_latency_ms":200,"timeout_ms":4000,"allowed_regions":["sudur"]}],"services":[{"name":"desk"}],
"limits":{"max_header_bytes":16384},"tenants":[{"name":"north","api_keys":["secret-of-north"]}]}`

// replaced returns checkedConfig with pairs of old and new texts replaced.
func replaced(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(checkedConfig) }

// Guards against a wrong exit code, a finding without its place in the file, a difference that is not shown, and a key in
// the output.
func TestCheckConfig(t *testing.T) {
	store := rows.New()
	server := httptest.NewServer(platformtest.NewStoreHandler(store))
	t.Cleanup(server.Close)
	address := " --store " + server.Listener.Addr().String()
	for _, key := range []string{"a", "b", "version/fares"} {
		store.Put(platform.OperatorTable, key, []byte("{}"))
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, settings := write("good.json", checkedConfig), write("settings", platformtest.ProcessSettings{Name: "h", IP: "127.0.0.1", DataCentre: "sudur", Store: "127.0.0.1:1", Duties: "127.0.0.1:1", FrontPort: 1, ReadyPort: 2, FirstPort: 3}.Settings())
	later := write("later.json", replaced(`"version":4`, `"version":5`, "secret-of-north", "secret-2", "4000", "3000"))
	broken := write("broken.json", replaced(`4000`, `"4000"`, `"max_attempts"`, `"max_attemts"`))
	wrong := write("wrong.json", replaced(`"desk","max`, `"dsk","max`, "4000", "100", "sudur", "austur"))
	for _, step := range []struct {
		args string
		code int
		want []string
	}{
		{good, command.ExitOK, []string{"good.json: ok\n"}},
		{good + " --against " + good, command.ExitSettings, []string{"error: version: configuration: version 4 is not higher than 4", "nothing differs"}},
		{later + " --against " + good, command.ExitOK, []string{
			`changed: routes[0].timeout_ms: route "quote", timeout: "4s" is now "3s"`,
			`changed: tenants[0].api_keys: workspace "north", keys: "1" is now "1, of these 1 new; 1 removed"`, "later.json: ok",
		}},
		{broken, command.ExitSettings, []string{
			"error: routes[0].timeout_ms: is a text; write a number", "warning: routes[0].max_attemts: is no field", "1 error; correct the file",
		}},
		{wrong, command.ExitSettings, []string{
			`error: routes[0]: route "quote": service "dsk" does not exist; name one of desk`, "error: routes[0].target_latency_ms",
			`warning: services[0]: service "desk": no route sends it requests`, "2 errors",
		}},
		{wrong + " --settings " + settings, command.ExitSettings, []string{`routes[0].allowed_regions[0]: route "quote": region "austur" does not exist`}},
		{write("syntax.json", "{"), command.ExitSettings, []string{"is not JSON: unexpected EOF"}},
		{write("unversioned.json", `{"routes":[]}`), command.ExitSettings, []string{"version is missing"}},
		{good + " --output xml", command.ExitFailure, []string{"write json or text"}},
		{good + " --against " + broken, command.ExitFailure, []string{"the configuration in force cannot be read"}},
		{filepath.Join(dir, "absent"), command.ExitFailure, []string{"no such file"}},
		{good + address, command.ExitFailure, []string{"the store holds no configuration"}},
		{good + address + " --against " + good, command.ExitFailure, []string{"were all set"}},
	} {
		out, code := checkConfigOutput(t, step.args)
		for _, want := range step.want {
			if code != step.code || !strings.Contains(out, want) {
				t.Errorf("%s: exit code %d and output %q; want %d and %q", step.args, code, out, step.code, want)
			}
		}
		if strings.Contains(out, "secret") {
			t.Errorf("%s: the output holds a key: %q", step.args, out)
		}
	}
	store.Put(platform.OperatorTable, "config", []byte(checkedConfig))
	out, code := checkConfigOutput(t, later+address+" --output json")
	var report configReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != command.ExitOK || !report.OK || len(report.Findings) != 0 || len(report.Differences) != 3 {
		t.Errorf("against the store: exit code %d, %v, output %s", code, err, out)
	}
}

func checkConfigOutput(t *testing.T, args string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	code := execute(t.Context(), append([]string{"check-config"}, strings.Fields(args)...), &out, &out)
	return out.String(), code
}
