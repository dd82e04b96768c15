// Package codec gives bad input from outside a numbered result code. The
// library would refuse it too, but with a text of its own and no number.
package codec

import (
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/base/code"
)

// The names under which the protocol knows the codecs.
const (
	protoCodecName       = "proto"
	jsonCodecName        = "json"
	jsonCharsetCodecName = "json; charset=utf-8"
)

// HandlerOptions are the handler options that every service uses.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{jsonCodecName}), connect.WithCodec(jsonCodec{jsonCharsetCodecName}),
	)
}

// LimitRequestSize refuses requests that say that they are larger than most bytes before
// anything of them is read. Those that do not say are ended by the library.
func LimitRequestSize(maxBytes int64, next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBytes {
			err := code.New(code.TooLarge, "%d bytes, at most %d", r.ContentLength, maxBytes)
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeResourceExhausted, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// asMalformed gives an error of a codec its number.
func asMalformed(err error) error {
	if err == nil {
		return nil
	}
	return code.New(code.Malformed, "%v", err)
}

// protoCodec is the protobuf codec.
type protoCodec struct{}

// Name returns the codec's name in the protocol.
func (protoCodec) Name() string { return protoCodecName }

// Marshal encodes a message.
func (protoCodec) Marshal(m any) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message.
func (protoCodec) Unmarshal(data []byte, m any) error {
	return asMalformed(proto.Unmarshal(data, m.(proto.Message)))
}

// jsonCodec is the JSON codec; fields that it does not know are passed over, so that
// newer clients can speak to older entries.
type jsonCodec struct{ name string }

// Name returns the codec's name in the protocol.
func (t jsonCodec) Name() string { return t.name }

// Marshal encodes a message.
func (jsonCodec) Marshal(m any) ([]byte, error) { return protojson.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message. No bytes at all are no JSON: most likely the
// request's body was lost on its way.
func (jsonCodec) Unmarshal(data []byte, m any) error {
	if len(data) == 0 {
		return code.New(code.Malformed, "an empty body is no JSON")
	}
	return asMalformed(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m.(proto.Message)))
}
