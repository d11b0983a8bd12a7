// Package wire holds the messages that the processes exchange over drpc.
//
// The Go files ending in .pb.go are generated from wire.proto and committed, so a
// build needs no generator. Durations are microseconds, sizes are bytes.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto mesh.proto
