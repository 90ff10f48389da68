package peer

import (
	"net/netip"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits for the fields of a report.
const (
	maxNameBytes      = 256
	maxStagedVersions = 64
	maxCacheEvents    = 4096
	maxReportSuspects = 1024
)

// validateReport checks a full report. It returns a Twirp error that names the invalid field.
func validateReport(r *rpc.HeartbeatRequest) error {
	if err := validateNames(
		field{"policy", r.GetPolicy()}, field{"data_centre", r.GetDataCentre()}, field{"region", r.GetRegion()},
	); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(r.GetDataAddress()); err != nil {
		return twirp.InvalidArgumentError("data_address", "is not an IP address with a port")
	}
	if r.GetKind() != fleetconfig.UpstreamEngine && r.GetKind() != fleetconfig.UpstreamService {
		return twirp.InvalidArgumentError("kind", "must be engine or service")
	}
	return validatePartialReport(r)
}

type field struct{ name, value string }

func validateNames(fields ...field) error {
	for _, f := range fields {
		if f.value == "" || len(f.value) > maxNameBytes {
			return twirp.InvalidArgumentError(f.name, "is missing or too long")
		}
	}
	return nil
}

// validatePartialReport checks the fields of a report that can change within an incarnation.
func validatePartialReport(r *rpc.HeartbeatRequest) error {
	err := validateNames(field{"upstream", r.GetUpstream()}, field{"incarnation", r.GetIncarnation()})
	if err != nil {
		return err
	}
	if r.GetReportSeq() <= 0 || r.GetAgeMs() < 0 {
		return twirp.InvalidArgumentError("report_seq", "must be positive, and age_ms must not be negative")
	}
	if !upstreamOf(r).Load.Valid() {
		return twirp.InvalidArgumentError("running", "or another load field is negative or not a finite number")
	}
	if len(r.GetStagedVersions()) > maxStagedVersions {
		return twirp.InvalidArgumentError("staged_versions", "has too many values")
	}
	if len(r.GetCacheAdded()) > maxCacheEvents || len(r.GetCacheRemoved()) > maxCacheEvents {
		return twirp.InvalidArgumentError("cache_added", "or cache_removed has too many hashes")
	}
	if len(r.GetSuspects()) > maxReportSuspects {
		return twirp.InvalidArgumentError("suspects", "has too many values")
	}
	return nil
}
