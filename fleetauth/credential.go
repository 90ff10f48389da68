package fleetauth

import (
	"fmt"
	"os"
	"strings"
)

// LoadCredential reads the secret that own processes show each other; it is empty when no file is set.
func LoadCredential(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("credential file: %w", err)
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", fmt.Errorf("credential file %s is empty; write the shared secret into it", file)
	}
	return secret, nil
}
