// Package examples holds two example deployments with their settings, shared
// configuration and sample jobs. The files are embedded, so that `bilberry dev` needs no
// files apart from its binary.
package examples

import "embed"

// Files holds the deployments, one folder each.
//
//go:embed rackwise himalaya
var Files embed.FS
