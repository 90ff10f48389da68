package configcheck

import "fmt"

// Severity says what a finding means for requests.
type Severity string

const (
	// Error means that an entry does not do what it says: requests are refused, or another entry gets them.
	Error Severity = "error"
	// Warning means that the configuration works, but probably not as meant.
	Warning Severity = "warning"
)

// Part is a kind of entry of a configuration.
type Part string

// Parts of a configuration.
const (
	PartConfig    Part = "configuration"
	PartRoute     Part = "route"
	PartService   Part = "service"
	PartWorkspace Part = "workspace"
	PartLimits    Part = "limits"
)

// Field is a field of an entry.
type Field string

// Fields that findings and differences name.
const (
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "path prefix"
	FieldKind          Field = "kind"
	FieldPublic        Field = "public"
	FieldStreaming     Field = "streaming"
	FieldResumable     Field = "resumable"
	FieldSingleVersion Field = "single version"
	FieldTargets       Field = "targets"
	FieldAttempts      Field = "attempts"
	FieldTimeout       Field = "timeout"
	FieldLatency       Field = "target latency"
	FieldPriority      Field = "priority"
	FieldDue           Field = "due time"
	FieldLifetime      Field = "item lifetime"
	FieldHomes         Field = "regions"
	FieldModels        Field = "models"
	FieldScaling       Field = "scaling"
	FieldHealthPath    Field = "health path"
	FieldConnections   Field = "connections"
	FieldCold          Field = "cold requests"
	FieldKeys          Field = "keys"
	FieldHeaderBytes   Field = "header size"
	FieldBodyBytes     Field = "body size"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Place is where in a configuration something is.
type Place struct {
	Part Part
	// Number is the position of the entry in its list, from 1; 0 if it is in none, or in another configuration.
	Number int
	// Name is the name of the entry, if it has one.
	Name string
	// Field is the field; empty for the whole entry. Item is the position in a field that is a list, from 1, or 0.
	Field Field
	Item  int
}

// String returns the place in words, without its field.
func (p Place) String() string {
	switch {
	case p.Name != "":
		return fmt.Sprintf("%s %q", p.Part, p.Name)
	case p.Number > 0:
		return fmt.Sprintf("%s number %d", p.Part, p.Number)
	default:
		return string(p.Part)
	}
}

// Finding is something in a configuration that is wrong or probably not meant.
type Finding struct {
	Severity Severity
	Place    Place
	// Problem describes what is wrong, and Remedy how to correct it.
	Problem, Remedy string
}

// findings collects the findings at one entry.
type findings struct {
	place Place
	list  *[]Finding
}

func (f findings) add(severity Severity, field Field, remedy, format string, args ...any) {
	f.addItem(severity, field, 0, remedy, format, args...)
}

func (f findings) addItem(severity Severity, field Field, item int, remedy, format string, args ...any) {
	place := f.place
	place.Field, place.Item = field, item
	*f.list = append(*f.list, Finding{Severity: severity, Place: place, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
}
