package settings

import (
	"errors"
	"testing"
)

// Guards against a settings file that makes Load panic or return an error without kind and remedy.
func FuzzLoad(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		err := Load(data, &testSettings{})
		if err == nil {
			return
		}
		var settingsErr *Error
		if !errors.As(err, &settingsErr) || settingsErr.Kind == "" || settingsErr.Remedy == "" {
			t.Errorf("Load(%q) = %v; want an *Error with kind and remedy", data, err)
		}
	})
}
