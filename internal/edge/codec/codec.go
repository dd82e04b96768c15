// Package codec provides message codecs that answer malformed input with a
// numbered result code. The codecs of the Connect library report only a text.
package codec

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/ingress"
)

// Codec names as the Connect protocol defines them.
const (
	protoCodecName       = "proto"
	jsonCodecName        = "json"
	jsonCharsetCodecName = "json; charset=utf-8"
)

// HandlerOptions returns the handler options that every service uses.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{jsonCodecName}), connect.WithCodec(jsonCodec{jsonCharsetCodecName}),
	)
}

// LimitRequestSize refuses a request whose Content-Length exceeds maxBytes before
// its body is read. The Connect library limits requests without a Content-Length
// while it reads them.
func LimitRequestSize(maxBytes int64, next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBytes {
			err := code.New(code.TooLarge, "the request has %d bytes, at most %d are allowed", r.ContentLength, maxBytes)
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeResourceExhausted, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RefuseUnread answers a request whose body was not read, so that it was not executed. An earlier
// request with the same id may have been: a refusal for want of room does not say "not run".
func RefuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	refusal := connect.NewError(connect.CodeInvalidArgument, code.New(code.Malformed, "%v", err))
	var sizeError *http.MaxBytesError
	switch {
	case errors.Is(err, ingress.ErrNoRoom):
		refusal = connect.NewError(connect.CodeUnavailable, code.New(code.LeaderTimeout, "%v", err))
	case errors.As(err, &sizeError):
		refusal = connect.NewError(connect.CodeResourceExhausted, code.New(code.TooLarge, "%v", err))
	}
	_ = connect.NewErrorWriter().Write(w, r, refusal)
}

// asMalformed returns a decoding error with the result code for malformed input.
func asMalformed(err error) error {
	if err == nil {
		return nil
	}
	return code.New(code.Malformed, "%v", err)
}

// protoCodec encodes and decodes binary protobuf messages.
type protoCodec struct{}

// Name returns the codec's name in the protocol.
func (protoCodec) Name() string { return protoCodecName }

// Marshal encodes a message.
func (protoCodec) Marshal(m any) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message.
func (protoCodec) Unmarshal(data []byte, m any) error {
	if err := checkProtoElements(data, m.(proto.Message)); err != nil {
		return err
	}
	return asMalformed(proto.Unmarshal(data, m.(proto.Message)))
}

// jsonCodec encodes and decodes JSON messages. It ignores unknown fields, so that
// newer clients can talk to older entries.
type jsonCodec struct{ name string }

// Name returns the codec's name in the protocol.
func (t jsonCodec) Name() string { return t.name }

// Marshal encodes a message.
func (jsonCodec) Marshal(m any) ([]byte, error) { return protojson.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message. An empty body is malformed, since it is no JSON and
// most likely means that the body was lost in transit.
func (jsonCodec) Unmarshal(data []byte, m any) error {
	if len(data) == 0 {
		return code.New(code.Malformed, "the request body is empty, expected JSON")
	}
	if err := checkJSONElements(data); err != nil {
		return err
	}
	return asMalformed(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m.(proto.Message)))
}
