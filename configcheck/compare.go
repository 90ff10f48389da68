package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/serving"
)

// Change says what became of an entry.
type Change string

// Changes of entries.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a difference between the configuration in force and another.
type Difference struct {
	Change Change
	// Place is in the new configuration, unless the entry was removed. Its field is empty if the whole entry was added or
	// removed.
	Place Place
	// From and To are the values of the field, without any key.
	From, To string
}

// Compare returns what differs between the configuration in force and another, in the order of the new one, with what was
// removed at the end of its part. Entries are the same if they have the same name.
func Compare(inForce, next serving.Builder) []Difference {
	var list []Difference
	list = appendFields(list, Place{Part: PartConfig}, []fieldValue{{FieldVersion, fmt.Sprint(inForce.Version)}},
		[]fieldValue{{FieldVersion, fmt.Sprint(next.Version)}})
	list = append(list, compareEntries(PartRoute, inForce.Routes, next.Routes, routeFields)...)
	list = append(list, compareEntries(PartService, inForce.Services, next.Services, serviceFields)...)
	list = append(list, compareEntries(PartWorkspace, inForce.Workspaces, next.Workspaces, workspaceFields)...)
	list = append(list, compareKeys(inForce.Workspaces, next.Workspaces)...)
	return appendFields(list, Place{Part: PartLimits}, limitFields(inForce.Limits), limitFields(next.Limits))
}

// fieldValue is a field with its value as a text.
type fieldValue struct {
	field Field
	value string
}

func compareEntries[T any](part Part, inForce, next []T, fields func(T) (name string, values []fieldValue)) []Difference {
	before := map[string][]fieldValue{}
	for _, entry := range inForce {
		name, values := fields(entry)
		before[name] = values
	}
	var list []Difference
	kept := map[string]bool{}
	for i, entry := range next {
		name, values := fields(entry)
		place := Place{Part: part, Number: i + 1, Name: name}
		kept[name] = true
		if old, ok := before[name]; ok {
			list = appendFields(list, place, old, values)
		} else {
			list = append(list, Difference{Change: Added, Place: place})
		}
	}
	for _, entry := range inForce {
		if name, _ := fields(entry); !kept[name] {
			list = append(list, Difference{Change: Removed, Place: Place{Part: part, Name: name}})
		}
	}
	return list
}

// appendFields appends the fields whose values differ. Both lists have the same fields.
func appendFields(list []Difference, place Place, from, to []fieldValue) []Difference {
	for i := range from {
		if from[i].value != to[i].value {
			place.Field = from[i].field
			list = append(list, Difference{Change: Changed, Place: place, From: from[i].value, To: to[i].value})
		}
	}
	return list
}

func routeFields(r *serving.Route) (string, []fieldValue) {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, t.Service+" "+strconv.FormatFloat(t.Weight, 'g', -1, 64))
	}
	return r.Name, []fieldValue{
		{FieldHost, r.Host}, {FieldPrefix, r.PathPrefix}, {FieldKind, string(r.Kind)}, {FieldPublic, fmt.Sprint(r.Public)},
		{FieldStreaming, fmt.Sprint(r.Streaming)}, {FieldResumable, fmt.Sprint(r.Resumable)},
		{FieldSingleVersion, fmt.Sprint(r.SingleVersion)}, {FieldTargets, strings.Join(targets, ", ")},
		{FieldAttempts, fmt.Sprint(r.MaxAttempts)}, {FieldTimeout, r.Timeout.String()}, {FieldLatency, r.TargetLatency.String()},
		{FieldPriority, fmt.Sprint(r.Priority)}, {FieldDue, r.Due.String()}, {FieldLifetime, r.ItemLifetime.String()},
		{FieldHomes, regionText(r.Homes)},
	}
}

func serviceFields(s *serving.Service) (string, []fieldValue) {
	scaling := "none"
	if s.Scaling != nil {
		scaling = fmt.Sprintf("%d to %d", s.Scaling.Min, s.Scaling.Max)
	}
	return s.Name, []fieldValue{
		{FieldHealthPath, s.HealthPath}, {FieldConnections, fmt.Sprint(s.MaxConnections)},
		{FieldModels, strings.Join(s.Models, ", ")}, {FieldCold, strconv.FormatFloat(s.ColdRequests, 'g', -1, 64)},
		{FieldScaling, scaling},
	}
}

func workspaceFields(w serving.WorkspaceKeys) (string, []fieldValue) {
	priority := "of the route"
	if w.Workspace.HasPriority {
		priority = fmt.Sprint(w.Workspace.Priority)
	}
	return w.Workspace.Name, []fieldValue{{FieldPriority, priority}, {FieldHomes, regionText(w.Workspace.Homes)}}
}

func limitFields(l serving.Limits) []fieldValue {
	return []fieldValue{
		{FieldHeaderBytes, fmt.Sprint(l.HeaderBytes)}, {FieldBodyBytes, fmt.Sprint(l.BodyBytes)},
		{FieldHeaderTimeout, l.HeaderTimeout.String()}, {FieldIdleTimeout, l.IdleTimeout.String()},
	}
}

// compareKeys says how many keys of the workspaces that both configurations have were added and removed.
func compareKeys(inForce, next []serving.WorkspaceKeys) []Difference {
	before := map[string][]string{}
	for _, w := range inForce {
		before[w.Workspace.Name] = w.Keys
	}
	var list []Difference
	for i, w := range next {
		old, ok := before[w.Workspace.Name]
		added, removed := countMissing(w.Keys, old), countMissing(old, w.Keys)
		if ok && added+removed > 0 {
			list = append(list, Difference{
				Change: Changed, Place: Place{Part: PartWorkspace, Number: i + 1, Name: w.Workspace.Name, Field: FieldKeys},
				From: fmt.Sprint(len(old)), To: fmt.Sprintf("%d, of these %d new; %d removed", len(w.Keys), added, removed),
			})
		}
	}
	return list
}

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

func regionText(r homes.Regions) string {
	if !r.Restricted() {
		return "all"
	}
	return join(r.List())
}
