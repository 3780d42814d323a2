#include "baobabward/wire.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "libwire/wire_layout.h"
#include "libwire/wire_scan.h"

/* Size of a chunk of the arena; most control messages fit into one chunk. */
#define ARENA_CHUNK_BYTES 1024

/**
 * struct bb_decoded_message - see wire.h.
 * @zone: arena for the parsed MessagePack objects and for lists of the message
 * @message: refers to the received bytes and to @zone
 */
struct bb_decoded_message {
	msgpack_zone zone;
	struct bb_message message;
};

static int invalid_field(const struct bb_field *f, struct bb_error *err)
{
	return bb_error_set(err, BB_ERROR_INVALID,
			    "field %s has the wrong type or is over its limit",
			    f->name);
}

static int decode_struct(struct bb_decoded_message *d,
			 const struct bb_layout *l, const msgpack_object *o,
			 char *data, struct bb_error *err);

static int decode_list(struct bb_decoded_message *d, const struct bb_field *f,
		       const msgpack_object *o, char *data,
		       struct bb_error *err)
{
	const struct bb_layout *l = f->layout;
	const msgpack_object *item;
	char *list = NULL;
	size_t nr;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > f->limit)
		return invalid_field(f, err);
	nr = o->via.array.size;
	if (nr) {
		list = msgpack_zone_malloc(&d->zone, nr * l->size);
		if (!list)
			return bb_error_set(err, BB_ERROR_NO_MEMORY,
					    "out of memory");
		memset(list, 0, nr * l->size);
	}
	memcpy(data + f->offset, &list, sizeof(list));
	memcpy(data + f->nr_offset, &nr, sizeof(nr));
	for (size_t i = 0; i < nr; i++) {
		item = &o->via.array.ptr[i];
		if (l->fields_nr > 1) {
			if (item->type != MSGPACK_OBJECT_ARRAY ||
			    item->via.array.size != l->fields_nr)
				return invalid_field(f, err);
			item = item->via.array.ptr;
		}
		if (decode_struct(d, l, item, list + i * l->size, err))
			return -1;
	}
	return 0;
}

static int decode_number(const struct bb_field *f, const msgpack_object *o,
			 char *data, struct bb_error *err)
{
	bool unsigned_integer = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
	uint64_t u64 = unsigned_integer ? o->via.u64 : 0;
	uint32_t u32 = (uint32_t)u64;
	int64_t i64;

	switch (f->kind) {
	case BB_FIELD_U64:
		if (!unsigned_integer)
			return invalid_field(f, err);
		memcpy(data, &u64, sizeof(u64));
		return 0;
	case BB_FIELD_I64:
		if (unsigned_integer ?
			    u64 > INT64_MAX :
			    o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
			return invalid_field(f, err);
		i64 = unsigned_integer ? (int64_t)u64 : o->via.i64;
		memcpy(data, &i64, sizeof(i64));
		return 0;
	default:
		if (!unsigned_integer ||
		    (f->kind == BB_FIELD_ENUM ? u64 >= f->limit :
						u64 > f->limit))
			return invalid_field(f, err);
		memcpy(data, &u32, sizeof(u32));
		return 0;
	}
}

static int decode_bytes(const struct bb_field *f, const msgpack_object *o,
			char *data, struct bb_error *err)
{
	struct bb_bytes b;

	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > f->limit)
		return invalid_field(f, err);
	b.data = o->via.bin.ptr;
	b.size = o->via.bin.size;
	memcpy(data, &b, sizeof(b));
	return 0;
}

static int decode_field(struct bb_decoded_message *d, const struct bb_field *f,
			const msgpack_object *o, char *data,
			struct bb_error *err)
{
	switch (f->kind) {
	case BB_FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return invalid_field(f, err);
		memcpy(data + f->offset, &o->via.boolean, sizeof(bool));
		return 0;
	case BB_FIELD_BYTES:
		return decode_bytes(f, o, data + f->offset, err);
	case BB_FIELD_FIXED:
		if (o->type != MSGPACK_OBJECT_BIN ||
		    o->via.bin.size != f->limit)
			return invalid_field(f, err);
		memcpy(data + f->offset, o->via.bin.ptr, f->limit);
		return 0;
	case BB_FIELD_STRUCT:
		if (o->type != MSGPACK_OBJECT_ARRAY ||
		    o->via.array.size != f->layout->fields_nr)
			return invalid_field(f, err);
		return decode_struct(d, f->layout, o->via.array.ptr,
				     data + f->offset, err);
	case BB_FIELD_LIST:
		return decode_list(d, f, o, data, err);
	default:
		return decode_number(f, o, data + f->offset, err);
	}
}

/* Decodes a struct into @data; @o is the first of its fields_nr objects. */
static int decode_struct(struct bb_decoded_message *d,
			 const struct bb_layout *l, const msgpack_object *o,
			 char *data, struct bb_error *err)
{
	for (size_t i = 0; i < l->fields_nr; i++) {
		if (decode_field(d, &l->fields[i], &o[i], data, err))
			return -1;
	}
	if (l->check && !l->check(data))
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"field %s and the fields after it do not match",
			l->fields[0].name);
	return 0;
}

static int decode_message(struct bb_decoded_message *d, const msgpack_object *o,
			  struct bb_error *err)
{
	const msgpack_object *item = o->via.array.ptr;
	const struct bb_layout *l;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2 ||
	    item[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    item[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"message is not an array of version, type and fields");
	if (item[0].via.u64 != BB_WIRE_VERSION)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"message has unsupported protocol version %llu",
			(unsigned long long)item[0].via.u64);
	if (item[1].via.u64 >= BB_MESSAGE_TYPE_COUNT)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "message has unknown type %llu",
				    (unsigned long long)item[1].via.u64);
	d->message.type = (enum bb_message_type)item[1].via.u64;
	l = &bb_wire_layouts[d->message.type];
	if (o->via.array.size != l->fields_nr + 2)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"message %s has a wrong number of fields: %u",
			bb_message_type_string[d->message.type],
			(unsigned int)o->via.array.size - 2);
	return decode_struct(d, l, item + 2, (char *)&d->message.hello, err);
}

struct bb_decoded_message *bb_wire_decode(const char *data, size_t size,
					  struct bb_error *err)
{
	struct bb_decoded_message *d;
	msgpack_object o;
	size_t offset = 0;

	if (size > BB_WIRE_SIZE_MAX || !bb_wire_scan(data, size)) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "%zu bytes are not one message within the "
			     "limits",
			     size);
		return NULL;
	}
	d = calloc(1, sizeof(*d));
	if (!d || !msgpack_zone_init(&d->zone, ARENA_CHUNK_BYTES)) {
		bb_error_set(err, BB_ERROR_NO_MEMORY, "out of memory");
		free(d);
		return NULL;
	}
	if (msgpack_unpack(data, size, &offset, &d->zone, &o) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != size) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "message is not valid MessagePack");
		goto fail;
	}
	if (decode_message(d, &o, err))
		goto fail;
	return d;
fail:
	bb_decoded_message_delete(d);
	return NULL;
}

const struct bb_message *
bb_decoded_message_get(const struct bb_decoded_message *d)
{
	return &d->message;
}

void bb_decoded_message_delete(struct bb_decoded_message *d)
{
	if (!d)
		return;
	msgpack_zone_destroy(&d->zone);
	free(d);
}
