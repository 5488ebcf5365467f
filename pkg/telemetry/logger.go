package telemetry

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line to w.
func NewLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	settings := zap.NewProductionEncoderConfig()
	settings.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	settings.EncodeDuration = zapcore.StringDurationEncoder
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(settings), sink, level))
}

// ComponentLogger returns a logger that prefixes its messages with the name of a
// component and a colon, as in "keys: key was revoked".
func ComponentLogger(log *zap.Logger, name string) *zap.Logger {
	prefix := name + ": "
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return prefixCore{Core: core, prefix: prefix}
	}))
}

type prefixCore struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core; the new core has the same prefix.
func (c prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{Core: c.Core.With(fields), prefix: c.prefix}
}

// Check adds this core, not the wrapped one, so that its Write gets the entry. The
// wrapped core still decides whether to log, so that its sampling applies.
func (c prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Core.Check(entry, nil) == nil {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core; it adds the prefix to the message.
func (c prefixCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	entry.Message = c.prefix + entry.Message
	return c.Core.Write(entry, fields)
}
