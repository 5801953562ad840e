// Package oldbuild reproduces the messages and calls of an earlier build, so that
// trials can run VMs of two builds side by side.
//
// A VM whose calls pass through Transport and Handler speaks the earlier build's
// messages: fields that the earlier build does not know are dropped in both
// directions, and calls that it does not have are answered as it answers them. Its
// decisions are those of the present build.
package oldbuild

import (
	_ "embed" // For the messages of the base build.
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
)

// baseDescriptors holds the descriptors of fleet.proto as of commit dfd3639, as
// protoc writes them with --descriptor_set_out. It must never be regenerated.
//
//go:embed base.binpb
var baseDescriptors []byte

// Build is the set of messages and calls of one build.
type Build struct{ file protoreflect.FileDescriptor }

// Base returns the build of commit dfd3639, the last one whose VMs announce no
// protocol.
func Base() (*Build, error) {
	var set descriptorpb.FileDescriptorSet
	if err := proto.Unmarshal(baseDescriptors, &set); err != nil {
		return nil, fmt.Errorf("decode the base build's descriptors: %w", err)
	}
	return New(set.GetFile()[0])
}

// New returns the build whose messages and calls a file defines.
func New(fd *descriptorpb.FileDescriptorProto) (*Build, error) {
	file, err := protodesc.NewFile(fd, nil)
	if err != nil {
		return nil, err
	}
	return &Build{file}, nil
}

// File returns the definitions of the build's messages and calls.
func (b *Build) File() protoreflect.FileDescriptor { return b.file }

// pathPrefix is the start of the paths of all calls.
const pathPrefix = "/twirp/"

// isCall reports whether a path is one of a call between VMs, of any build.
func isCall(path string) bool { return strings.HasPrefix(path, pathPrefix) }

// method returns the call with a path, or nil if the build has none.
func (b *Build) method(path string) protoreflect.MethodDescriptor {
	service, name, ok := strings.Cut(strings.TrimPrefix(path, pathPrefix), "/")
	s := b.file.Services().ByName(protoreflect.FullName(service).Name())
	if !ok || s == nil || string(s.FullName()) != service {
		return nil
	}
	return s.Methods().ByName(protoreflect.Name(name))
}

// Translate encodes a message again with only the fields that the build knows.
func Translate(d protoreflect.MessageDescriptor, raw []byte) ([]byte, error) {
	m := dynamicpb.NewMessage(d)
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, m); err != nil {
		return nil, err
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
