package quickstart

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/standin/trainer"
)

// maxActivationDelay is the documented time from the publication of a version to its activation on all engines.
const maxActivationDelay = 5 * time.Second

// groupInterval is the pause between two groups, so that the trainer keeps up.
const groupInterval = 300 * time.Millisecond

// groupRequest is the body of POST /v1/rollout-groups.
type groupRequest struct {
	Policy    string              `json:"policy"`
	Trainer   string              `json:"trainer"`
	Group     string              `json:"group"`
	Size      int                 `json:"size"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
}

// checkLotAndSwap runs rollout groups until the trainer has received lots with both weight versions. After its first lot the
// trainer publishes the second version, which the fleet stages and activates.
func checkLotAndSwap(ctx context.Context, f *fleet) (string, error) {
	const size, minLots = 4, 3
	for version := 2; version <= 9; version++ {
		url := fmt.Sprintf("%s/admin/weights/%s/%d", platformURL, policy, version)
		if a, err := call(ctx, http.MethodPut, url, "", "weights"); err != nil || a.status != http.StatusOK {
			return "", fmt.Errorf("put weights: status %d: %w", a.status, err)
		}
	}
	var activation time.Duration
	watchResult := make(chan error, 1)
	go func() {
		var err error
		activation, err = watchActivation(ctx, 2)
		watchResult <- err
	}()
	groups := 0
	var report trainer.Report
	for {
		groups++
		if err := runGroup(ctx, f, fmt.Sprintf("dispute-%d", groups), size); err != nil {
			return "", err
		}
		if err := getJSON(ctx, trainerURL+"/admin/report", &report); err != nil {
			return "", err
		}
		if len(report.Lots) >= minLots && slices.Contains(trainedVersions(report), 1) && slices.Contains(trainedVersions(report), 2) {
			break
		}
		time.Sleep(groupInterval)
	}
	if err := <-watchResult; err != nil {
		return "", err
	}
	if len(report.Duplicates) > 0 || len(report.ChangedLots) > 0 {
		return "", fmt.Errorf("duplicates %v, changed lots %v", report.Duplicates, report.ChangedLots)
	}
	if activation > maxActivationDelay {
		return "", fmt.Errorf("version 2 was active on all engines after %s, want at most %s", activation, maxActivationDelay)
	}
	return fmt.Sprintf("groups=%d lots=%d samples=%d versions=%v duplicates=0 max_staleness=%d publish_to_active=%s",
		groups, len(report.Lots), report.Samples, trainedVersions(report), report.MaxStaleness, activation.Round(time.Millisecond)), nil
}

func runGroup(ctx context.Context, f *fleet, group string, size int) error {
	req := groupRequest{
		Policy: policy, Trainer: "coach", Group: group, Size: size, MaxTokens: 40,
		Messages: []engineapi.Message{{Role: "user", Content: "The fare of " + group + " is wrong."}},
	}
	a, err := call(ctx, http.MethodPost, entry1URL+"/v1/rollout-groups", f.secrets["hraunvegur"], req)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusCreated {
		return fmt.Errorf("group %s: status %d: %s", group, a.status, a.body)
	}
	return nil
}

// trainedVersions returns the sorted distinct versions of all lots in a report.
func trainedVersions(r trainer.Report) []int64 {
	var versions []int64
	for _, lot := range r.Lots {
		for _, v := range lot.Versions {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	slices.Sort(versions)
	return versions
}

// watchActivation returns the time from the publication of version to its activation on both engines.
func watchActivation(ctx context.Context, version int64) (time.Duration, error) {
	var published time.Time
	err := poll(ctx, "the publication", func() (bool, error) {
		var report trainer.Report
		err := getJSON(ctx, trainerURL+"/admin/report", &report)
		published = time.Now()
		return slices.Contains(report.Published, version), err
	})
	if err != nil {
		return 0, err
	}
	err = poll(ctx, "the activation on all engines", func() (bool, error) {
		for _, base := range []string{engine1URL, engine2URL} {
			var status engineapi.Status
			if err := getJSON(ctx, base+engineapi.PathStatus, &status); err != nil {
				return false, err
			}
			if status.ActiveVersion < version {
				return false, nil
			}
		}
		return true, nil
	})
	return time.Since(published), err
}
