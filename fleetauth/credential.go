package fleetauth

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// LoadCredential reads the secret that own processes show each other; it is empty when no file is set.
func LoadCredential(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "credential file")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", fmt.Errorf("credential file %s is empty; write the shared secret into it", file)
	}
	return secret, nil
}
