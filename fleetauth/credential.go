package fleetauth

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// LoadCredential reads the shared secret with which the processes of a fleet authenticate to each other. It returns ""
// if file is empty.
func LoadCredential(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "read the credential file")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", fmt.Errorf("credential file %s is empty; write the shared secret into it", file)
	}
	return secret, nil
}
