// Package settings reads the JSON settings file of a program. Unknown fields, values without a unit and missing values
// are errors that name the field and the remedy.
package settings
