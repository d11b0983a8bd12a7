package world

import (
	_ "embed"

	"cranberrypoint.example/local/stand"
)

// ExampleKey is granted to the workspace faculty of the example settings.
const ExampleKey = "cp-example-key"

//go:embed example.yaml
var exampleSettings []byte

// ExampleSettings returns the settings document of the example deployment.
func ExampleSettings() []byte { return exampleSettings }

const plainSlots = 64

// Example is a deployment of two small data centres.
func Example(callers string) Profile {
	d := DataCentre{Entries: 1, Prefill: 1, Decode: 1, Plain: 1}
	east, west := d, d
	east.Name, west.Name = "east", "west"
	return Profile{
		DataCentres: []DataCentre{east, west},
		Engine:      stand.DefaultEngine,
		PlainSlots:  plainSlots,
		Settings:    exampleSettings,
		Callers:     callers,
	}
}
