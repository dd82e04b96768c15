package codec

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"gypsumreel/internal/base/code"
)

const (
	// maxElements limits the fields of a message with those of the messages in it. It is twice
	// what the largest request that a service accepts has. An empty field takes two bytes in
	// transit and hundreds once it is decoded.
	maxElements = 1 << 17
	// uncheckedBytes is the size up to which a message may have any number of elements.
	uncheckedBytes = 8 << 10
)

// errTooManyElements returns the error for a message with more than maxElements elements.
func errTooManyElements() error {
	return code.New(code.TooLarge, "the request has more than %d elements", maxElements)
}

// checkProtoElements returns an error if the binary encoding of m has too many elements. Encodings
// that are malformed are left to the decoder.
func checkProtoElements(data []byte, m proto.Message) error {
	if len(data) > uncheckedBytes && countElements(data, m.ProtoReflect().Descriptor(), 0) > maxElements {
		return errTooManyElements()
	}
	return nil
}

// countElements adds the elements of an encoded message to n. It stops above maxElements.
func countElements(data []byte, d protoreflect.MessageDescriptor, n int) int {
	for len(data) > 0 && n <= maxElements {
		number, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return n
		}
		n++
		value := data[size:]
		if size = protowire.ConsumeFieldValue(number, kind, value); size < 0 {
			return n
		}
		if field := d.Fields().ByNumber(number); kind == protowire.BytesType && field != nil && field.Message() != nil {
			nested, _ := protowire.ConsumeBytes(value)
			n = countElements(nested, field.Message(), n)
		}
		data = value[size:]
	}
	return n
}

// checkJSONElements returns an error if a JSON text has too many elements.
func checkJSONElements(text []byte) error {
	if len(text) <= uncheckedBytes {
		return nil
	}
	n, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && (c == ',' || c == '{' || c == '['):
			if n++; n > maxElements {
				return errTooManyElements()
			}
		}
	}
	return nil
}
