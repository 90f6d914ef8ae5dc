package config

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// DecodeHeadPointer decodes the record at HeadPointerKey. It fails with a CorruptError.
func DecodeHeadPointer(b []byte) (*schema.HeadPointer, error) {
	x := &schema.HeadPointer{}
	if err := proto.Unmarshal(b, x); err != nil {
		return nil, trace.Wrap(&CorruptError{Name: "head pointer", Detail: err.Error()})
	}
	return x, nil
}

// DecodeHead decodes a head. It fails with a CorruptError.
func DecodeHead(b []byte) (*schema.Head, error) {
	h := &schema.Head{}
	if err := proto.Unmarshal(b, h); err != nil {
		return nil, trace.Wrap(&CorruptError{Name: "head", Detail: err.Error()})
	}
	return h, nil
}
