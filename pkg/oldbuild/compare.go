package oldbuild

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Compare returns what in a later build's definitions breaks VMs of the build: a
// message, field or call that is removed or changed. Additions break nothing.
func (b *Build) Compare(later protoreflect.FileDescriptor) []string {
	c := &comparison{}
	c.compareMessages(b.file.Messages(), later.Messages())
	c.compareServices(b.file.Services(), later.Services())
	return c.breaks
}

// comparison collects incompatible changes.
type comparison struct{ breaks []string }

func (c *comparison) check(ok bool, subject protoreflect.Descriptor, problem string, args ...any) bool {
	if !ok {
		c.breaks = append(c.breaks, fmt.Sprintf("%s: %s", subject.FullName(), fmt.Sprintf(problem, args...)))
	}
	return ok
}

func (c *comparison) compareMessages(old, later protoreflect.MessageDescriptors) {
	for i := range old.Len() {
		was := old.Get(i)
		if is := later.ByName(was.Name()); c.check(is != nil, was, "the message is removed") {
			c.compareMessage(was, is)
		}
	}
}

func (c *comparison) compareMessage(was, is protoreflect.MessageDescriptor) {
	for i := range was.Fields().Len() {
		f := was.Fields().Get(i)
		if now := is.Fields().ByNumber(f.Number()); c.check(now != nil, f, "field %d is removed", f.Number()) {
			c.compareField(f, now)
		}
	}
	for i := range is.Fields().Len() {
		f := is.Fields().Get(i)
		c.check(!was.ReservedRanges().Has(f.Number()), f, "field %d was used by earlier builds", f.Number())
		if o := f.ContainingOneof(); o != nil && was.Fields().ByNumber(f.Number()) == nil {
			c.check(was.Oneofs().ByName(o.Name()) == nil, f, "alternative %d is added to a oneof that earlier builds decide by", f.Number())
		}
	}
}

func (c *comparison) compareField(was, is protoreflect.FieldDescriptor) {
	c.check(was.Name() == is.Name(), was, "field %d is now %s", was.Number(), is.Name())
	c.check(was.Kind() == is.Kind(), was, "the type changes from %s to %s", was.Kind(), is.Kind())
	c.check(was.Cardinality() == is.Cardinality(), was, "changes from %s to %s", was.Cardinality(), is.Cardinality())
	c.check(oneofOf(was) == oneofOf(is), was, "moves from oneof %q to %q", oneofOf(was), oneofOf(is))
	c.check(messageOf(was) == messageOf(is), was, "the message changes from %s to %s", messageOf(was), messageOf(is))
}

// oneofOf returns the name of the oneof that a field belongs to, or "".
func oneofOf(f protoreflect.FieldDescriptor) protoreflect.Name {
	if o := f.ContainingOneof(); o != nil {
		return o.Name()
	}
	return ""
}

// messageOf returns the name of the message that a field holds, or "".
func messageOf(f protoreflect.FieldDescriptor) protoreflect.FullName {
	if m := f.Message(); m != nil {
		return m.FullName()
	}
	return ""
}

func (c *comparison) compareServices(old, later protoreflect.ServiceDescriptors) {
	for i := range old.Len() {
		was := old.Get(i)
		is := later.ByName(was.Name())
		if !c.check(is != nil, was, "the service is removed") {
			continue
		}
		for j := range was.Methods().Len() {
			m := was.Methods().Get(j)
			if now := is.Methods().ByName(m.Name()); c.check(now != nil, m, "the call is removed") {
				c.check(m.Input().FullName() == now.Input().FullName(), m, "the request changes to %s", now.Input().FullName())
				c.check(m.Output().FullName() == now.Output().FullName(), m, "the reply changes to %s", now.Output().FullName())
			}
		}
	}
}
