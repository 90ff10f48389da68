package fleetconfig

// ID identifies an object in the configuration.
type ID struct {
	Kind Kind
	Name string
}

// ID returns the ID of the object.
func (o Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }
