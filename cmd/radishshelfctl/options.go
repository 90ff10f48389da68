package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// options are the flags that all commands share.
type options struct {
	entry     string
	output    string
	tokenFile string
	caFile    string
	timeout   time.Duration
}

func (o *options) client() (*operatorclient.Client, error) {
	if o.entry == "" {
		return nil, errors.New("no entry address; set --entry or $" + entryVariable + `, for example "127.0.0.1:7002"`)
	}
	if err := o.checkOutput(); err != nil {
		return nil, err
	}
	opts := operatorclient.Options{Timeout: o.timeout}
	if o.tokenFile != "" {
		token, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the operator credential")
		}
		opts.Token = strings.TrimSpace(string(token))
	}
	if o.caFile != "" {
		config, err := loadCA(o.caFile)
		if err != nil {
			return nil, err
		}
		opts.TLS = config
	}
	return operatorclient.New(o.entry, opts), nil
}

// checkOutput returns an error if --output is unknown.
func (o *options) checkOutput() error {
	if o.output != outputText && o.output != outputJSON {
		return fmt.Errorf("--output %q is unknown; write json or text", o.output)
	}
	return nil
}

func loadCA(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the CA of the operator port")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("CA of the operator port: %s contains no PEM certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
