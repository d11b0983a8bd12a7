package main

// cases are the cases by name.
var cases = map[string]testCase{
	"pipeline": playPipeline,
	"restore":  playRestore,
	"version":  playVersion,
}
