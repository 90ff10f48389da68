package configsync

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

func toRPC(objects []fleetconfig.Object) []*rpc.ConfigObject {
	converted := make([]*rpc.ConfigObject, 0, len(objects))
	for _, o := range objects {
		converted = append(converted, &rpc.ConfigObject{
			Kind: string(o.Kind), Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted,
		})
	}
	return converted
}

func fromRPC(objects []*rpc.ConfigObject) []fleetconfig.Object {
	converted := make([]fleetconfig.Object, 0, len(objects))
	for _, o := range objects {
		converted = append(converted, fleetconfig.Object{
			Kind: fleetconfig.Kind(o.GetKind()), Name: o.GetName(), Revision: o.GetRevision(), Value: o.GetValue(),
			Deleted: o.GetDeleted(),
		})
	}
	return converted
}

// maxConfirmationAge is far above every age that matters. A larger value would overflow and count as a fresh
// confirmation.
const maxConfirmationAge = 365 * 24 * time.Hour

// confirmationAge returns the confirmation age in info, capped at maxConfirmationAge; -1 if there is no confirmation.
func confirmationAge(info *rpc.EntryInfo) time.Duration {
	if info.GetConfirmationAgeMs() < 0 {
		return -1
	}
	return time.Duration(min(info.GetConfirmationAgeMs(), maxConfirmationAge.Milliseconds())) * time.Millisecond
}
