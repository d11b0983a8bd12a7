package main

import (
	_ "embed"
	"encoding/json"
	"sync"
)

//go:embed names.json
var namesFile []byte

// names holds the names on the wire that stand in names.json.
var names = sync.OnceValue(func() (m map[string]string) {
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
})

// name returns the name on the wire for a key of names.json.
func name(key string) string {
	n, ok := names()[key]
	if !ok {
		panic("names.json lacks " + key)
	}
	return n
}
