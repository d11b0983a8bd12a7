package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the names of the protocol and of the settings that the project's code keeps in one folder.
var names = readNames()

func readNames() (m map[string]string) {
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}

// name returns the name for a key of names.json.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic("names.json lacks " + key)
	}
	return n
}
