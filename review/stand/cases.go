package main

// cases are the cases by name.
var cases = map[string]testCase{
	"memory":   playMemory,
	"pipeline": playPipeline,
	"restore":  playRestore,
	"resume":   playResume,
	"version":  playVersion,
}
