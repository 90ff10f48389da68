package fleetconfig

// ID names an object within the configuration.
type ID struct {
	Kind Kind
	Name string
}

// ID returns the identity of the object.
func (o Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }
