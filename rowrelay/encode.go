package rowrelay

import (
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rpc/relaypb"
)

func encodeRow(r hosting.StoredRow) *relaypb.RelayRow {
	return &relaypb.RelayRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version}
}

func decodeRow(r *relaypb.RelayRow) hosting.StoredRow {
	return hosting.StoredRow{
		RowKey: hosting.RowKey{Table: r.GetTable(), Part: r.GetPart(), Key: r.GetKey()},
		Value:  r.GetValue(), Version: r.GetVersion(),
	}
}

func encodeRows(rows []hosting.StoredRow) []*relaypb.RelayRow {
	list := make([]*relaypb.RelayRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, encodeRow(r))
	}
	return list
}

func decodeRows(rows []*relaypb.RelayRow) []hosting.StoredRow {
	list := make([]hosting.StoredRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, decodeRow(r))
	}
	return list
}
