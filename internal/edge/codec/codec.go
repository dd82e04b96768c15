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
	nameProto       = "proto"
	nameJSON        = "json"
	nameJSONCharset = "json; charset=utf-8"
)

// HandlerOptions are the handler options that every service uses.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(binary{}), connect.WithCodec(text{nameJSON}), connect.WithCodec(text{nameJSONCharset}),
	)
}

// LimitRequestSize refuses requests that say that they are larger than most bytes before
// anything of them is read. Those that do not say are ended by the library.
func LimitRequestSize(most int64, next http.Handler) http.Handler {
	errs := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > most {
			err := code.New(code.TooLarge, "%d bytes, at most %d", r.ContentLength, most)
			_ = errs.Write(w, r, connect.NewError(connect.CodeResourceExhausted, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// malformed gives an error of a codec its number.
func malformed(err error) error {
	if err == nil {
		return nil
	}
	return code.New(code.Malformed, "%v", err)
}

// binary is the protobuf codec.
type binary struct{}

// Name returns the codec's name in the protocol.
func (binary) Name() string { return nameProto }

// Marshal encodes a message.
func (binary) Marshal(m any) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message.
func (binary) Unmarshal(data []byte, m any) error {
	return malformed(proto.Unmarshal(data, m.(proto.Message)))
}

// text is the JSON codec; fields that it does not know are passed over, so that
// newer clients can speak to older entries.
type text struct{ name string }

// Name returns the codec's name in the protocol.
func (t text) Name() string { return t.name }

// Marshal encodes a message.
func (text) Marshal(m any) ([]byte, error) { return protojson.Marshal(m.(proto.Message)) }

// Unmarshal decodes a message. No bytes at all are no JSON: most likely the
// request's body was lost on its way.
func (text) Unmarshal(data []byte, m any) error {
	if len(data) == 0 {
		return code.New(code.Malformed, "an empty body is no JSON")
	}
	return malformed(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m.(proto.Message)))
}
