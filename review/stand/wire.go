package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the users' protocol that differ from the project's words, which Go files outside platform/
// don't use.
//
//go:embed wire.json
var wireFile []byte

// wire holds the names by the project's words.
var wire = readWire()

func readWire() (w wireNames) {
	if err := json.Unmarshal(wireFile, &w); err != nil {
		panic(err)
	}
	return w
}

// wireNames are names of headers, paths, keys and fields on the wire.
type wireNames struct {
	HeaderPrefix    string `json:"header-prefix"`
	HeaderWorkspace string `json:"header-workspace"`
	// ItemPath reads one item of the store, ItemsPath a range of them, and ConfigKey is that of the configuration.
	ItemPath  string `json:"path-item"`
	ItemsPath string `json:"path-items"`
	ConfigKey string `json:"key-config"`
	// Kind, Keys and Workspaces are fields of the configuration; DataCentre is one of registrations and settings, and the
	// others are of settings.
	Kind        string `json:"field-kind"`
	Keys        string `json:"field-keys"`
	Workspaces  string `json:"field-workspaces"`
	DataCentre  string `json:"field-data-centre"`
	DataCentres string `json:"field-data-centres"`
	VM          string `json:"field-vm"`
	Ready       string `json:"field-ready"`
}
