// Package settings reads the JSON settings file of a program. Unknown fields, durations without a unit and missing
// values are errors that name the field and how to correct it.
package settings
