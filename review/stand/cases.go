package main

// cases are the cases by name.
var cases = map[string]testCase{
	"restore": playRestore,
	"version": playVersion,
}
