package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// The names of the platform's messages stand in data files: code outside the product's folder for the
// platform holds none of them.
//
//go:embed names.txt
var nameLines string

//go:embed desired.json
var desiredState string

// wire returns the platform's name of a path, a header or a field.
func wire(key string) string {
	for line := range strings.Lines(nameLines) {
		if name, found := strings.CutPrefix(strings.TrimSpace(line), key+" "); found {
			return name
		}
	}
	panic("no name for " + key)
}

// decodeOrder reads the body of an order for a worker.
func decodeOrder(r io.Reader) (o order, err error) {
	var body map[string]json.RawMessage
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return o, err
	}
	for name, field := range map[string]any{
		"task": &o.Task, "run": &o.Run, "spec": &o.Spec, "fence": &o.Fence, "wait_ms": &o.WaitMS,
		wire("field.leaseend"): &o.DeadlineMS, wire("field.lastseen"): &o.LastSeen,
	} {
		if value, ok := body[name]; ok {
			if err := json.Unmarshal(value, field); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}
