package docs

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/engine"
	standin "github.com/radishshelf/radishshelf/standin/platform"
	"github.com/radishshelf/radishshelf/standin/service"
	"github.com/radishshelf/radishshelf/standin/trainer"
)

// Guards against a settings field or default that settings.md does not list, and a listed field that no longer exists.
func TestSettingsPage(t *testing.T) {
	text := readPage(t, "settings.md")
	for heading, value := range map[string]any{
		"Common fields": settings.Common{}, "TLS": settings.TLS{}, "radishshelf-entry": entry.DefaultSettings(),
		"radishshelf-agent": agent.DefaultSettings(), "standin-platform": standin.Settings{},
		"Hosts of standin-platform": hosting.Host{}, "standin-engine": engine.Defaults(),
		"standin-service": service.Settings{}, "standin-trainer": trainer.Defaults(),
	} {
		t.Run(heading, func(t *testing.T) {
			rows := tableRows(section(t, text, heading))
			for name, want := range jsonFields(t, reflect.ValueOf(value)) {
				row, found := rows[name]
				if !found {
					t.Errorf("the field %q is missing", name)
					continue
				}
				delete(rows, name)
				if want != "" && row != "`"+want+"`" {
					t.Errorf("the default of %q is %s, the page says %s", name, want, row)
				}
			}
			for name := range rows {
				t.Errorf("the field %q does not exist", name)
			}
		})
	}
}

// tableRows returns the default column of a settings table by field.
func tableRows(text string) map[string]string {
	rows := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(line, " | ")
		name, found := strings.CutPrefix(cells[0], "| `")
		if found && len(cells) > 2 {
			rows[strings.TrimSuffix(name, "`")] = cells[2]
		}
	}
	return rows
}

// jsonFields returns the default of each field of a struct by JSON name; it is empty where it is the zero value.
func jsonFields(t *testing.T, value reflect.Value) map[string]string {
	t.Helper()
	out := map[string]string{}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			t.Fatalf("%s has no JSON name", field.Name)
		}
		out[name] = ""
		if !value.Field(i).IsZero() {
			out[name] = jsonText(t, value.Field(i).Interface())
		}
	}
	return out
}

func jsonText(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Trim(string(data), `"`)
}
