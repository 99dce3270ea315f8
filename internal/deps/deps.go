// Package deps pins the module's libraries until every package that uses them has landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cenkalti/backoff/v4"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/labstack/echo/v4"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pkg/errors"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/require"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
