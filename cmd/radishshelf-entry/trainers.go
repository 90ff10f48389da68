package main

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/rolloutmanager"
	"github.com/radishshelf/radishshelf/trainerapi"
)

func (p *process) newLotStore() *lotstore.Store {
	return lotstore.New(lotstore.Options{
		Table: p.services.Table, Objects: p.services.Objects, Spec: p.lotSpec, Peer: p.groupPeer, Name: p.settings.Name,
		MaxPendingBytes: p.settings.SampleBufferBytes, Log: p.log, Registry: p.registry,
	})
}

func (p *process) lotSpec(trainer string) (lots.Spec, bool) {
	t, ok := p.syncer.View().Trainer(trainer)
	return lots.Spec{
		MaxStaleness: t.MaxStaleness, LotSamples: t.LotSamples, Order: lots.Order(t.LotOrder), MaxReadySamples: t.MaxReadySamples,
	}, ok
}

// newTrainerHandler returns the HTTP handler of the trainer API.
func (p *process) newTrainerHandler(e *entry.Entry) http.Handler {
	return trainerapi.New(trainerapi.Options{
		Lots: p.lots, Publisher: publisher{p}, Authenticator: e.TrainerAuth(), Log: p.log, Registry: p.registry,
	})
}

// publisher records the weight versions that trainers publish; the holder of the rollout role acts on them.
type publisher struct{ p *process }

// PublishVersion implements trainerapi.Publisher.
func (b publisher) PublishVersion(ctx context.Context, trainer string, version int64) error {
	t, ok := b.p.syncer.View().Trainer(trainer)
	if !ok {
		return entry.UnknownTrainer()
	}
	return rolloutmanager.Publish(ctx, b.p.services.Table, t.Policy, trainer, version)
}
