package homes

import (
	"encoding/json"
	"slices"
	"strings"
)

// Regions is the set of regions in which a request may be served and kept. The zero value allows every region. Values are
// comparable: equal sets are equal values.
type Regions struct {
	restricted bool
	// joined holds the allowed regions in ascending order, each followed by separator.
	joined string
}

// separator is not part of any region's name.
const separator = "\x00"

// Only returns the set of the given regions. Without any region, it returns the set of all regions, as a configuration
// means it that names none.
func Only(regions ...string) Regions {
	if len(regions) == 0 {
		return Regions{}
	}
	return newRegions(regions)
}

func newRegions(regions []string) Regions {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	r := Regions{restricted: true}
	for _, region := range sorted {
		r.joined += region + separator
	}
	return r
}

// Restricted reports whether the set leaves out any region.
func (r Regions) Restricted() bool { return r.restricted }

// Allows reports whether the set contains a region.
func (r Regions) Allows(region string) bool {
	return !r.restricted || slices.Contains(r.List(), region)
}

// And returns the regions that are in both sets. It may contain none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	return newRegions(slices.DeleteFunc(r.List(), func(region string) bool { return !other.Allows(region) }))
}

// With returns the set with one more region, which must not be "" to have an effect.
func (r Regions) With(region string) Regions {
	if !r.restricted || region == "" {
		return r
	}
	return newRegions(append(r.List(), region))
}

// List returns the regions of a restricted set in ascending order, and nil for the set of all regions.
func (r Regions) List() []string {
	if !r.restricted {
		return nil
	}
	return strings.Split(r.joined, separator)[:strings.Count(r.joined, separator)]
}

// MarshalJSON implements json.Marshaler: null for all regions, otherwise the list, which may be empty.
func (r Regions) MarshalJSON() ([]byte, error) { return json.Marshal(r.List()) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *Regions) UnmarshalJSON(data []byte) error {
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*r = Regions{}
	if list != nil {
		*r = newRegions(list)
	}
	return nil
}
