// Package generate pins the versions of the code generators of the schema. The
// build does not need them.
package generate

import (
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
)
