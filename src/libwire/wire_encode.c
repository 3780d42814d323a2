#include "baobabward/wire.h"

#include <msgpack.h>
#include <string.h>

#include "libwire/wire_layout.h"

static int field_over_limit(const struct bb_field *f, struct bb_error *err)
{
	return bb_error_set(err, BB_ERROR_INVALID, "field %s is over its limit",
			    f->name);
}

static int pack_bin(msgpack_packer *p, const void *data, size_t size)
{
	if (msgpack_pack_bin(p, size))
		return -1;
	return size ? msgpack_pack_bin_body(p, data, size) : 0;
}

static int pack_struct(msgpack_packer *p, const struct bb_layout *l,
		       const char *data, struct bb_error *err);

static int out_of_memory(struct bb_error *err)
{
	return bb_error_set(err, BB_ERROR_NO_MEMORY, "out of memory");
}

static int pack_list(msgpack_packer *p, const struct bb_field *f,
		     const char *data, struct bb_error *err)
{
	const struct bb_layout *l = f->layout;
	const char *item;
	size_t nr;

	memcpy(&item, data + f->offset, sizeof(item));
	memcpy(&nr, data + f->nr_offset, sizeof(nr));
	if (nr > f->limit)
		return field_over_limit(f, err);
	if (msgpack_pack_array(p, nr))
		return out_of_memory(err);
	for (size_t i = 0; i < nr; i++, item += l->size) {
		if (l->fields_nr > 1 && msgpack_pack_array(p, l->fields_nr))
			return out_of_memory(err);
		if (pack_struct(p, l, item, err))
			return -1;
	}
	return 0;
}

static int pack_number(msgpack_packer *p, const struct bb_field *f,
		       const char *data, struct bb_error *err)
{
	uint64_t u64;
	uint32_t u32;
	int64_t i64;
	bool flag;
	int rc;

	switch (f->kind) {
	case BB_FIELD_U64:
		memcpy(&u64, data, sizeof(u64));
		rc = msgpack_pack_uint64(p, u64);
		break;
	case BB_FIELD_I64:
		memcpy(&i64, data, sizeof(i64));
		rc = msgpack_pack_int64(p, i64);
		break;
	case BB_FIELD_BOOL:
		memcpy(&flag, data, sizeof(flag));
		rc = flag ? msgpack_pack_true(p) : msgpack_pack_false(p);
		break;
	default:
		memcpy(&u32, data, sizeof(u32));
		if (f->kind == BB_FIELD_ENUM ? u32 >= f->limit : u32 > f->limit)
			return field_over_limit(f, err);
		rc = msgpack_pack_uint32(p, u32);
		break;
	}
	return rc ? out_of_memory(err) : 0;
}

static int pack_field(msgpack_packer *p, const struct bb_field *f,
		      const char *data, struct bb_error *err)
{
	struct bb_bytes b;

	switch (f->kind) {
	case BB_FIELD_BYTES:
		memcpy(&b, data + f->offset, sizeof(b));
		if (b.size > f->limit)
			return field_over_limit(f, err);
		return pack_bin(p, b.data, b.size) ? out_of_memory(err) : 0;
	case BB_FIELD_FIXED:
		if (pack_bin(p, data + f->offset, f->limit))
			return out_of_memory(err);
		return 0;
	case BB_FIELD_STRUCT:
		if (msgpack_pack_array(p, f->layout->fields_nr))
			return out_of_memory(err);
		return pack_struct(p, f->layout, data + f->offset, err);
	case BB_FIELD_LIST:
		return pack_list(p, f, data, err);
	default:
		return pack_number(p, f, data + f->offset, err);
	}
}

static int pack_struct(msgpack_packer *p, const struct bb_layout *l,
		       const char *data, struct bb_error *err)
{
	for (size_t i = 0; i < l->fields_nr; i++) {
		if (pack_field(p, &l->fields[i], data, err))
			return -1;
	}
	if (l->check && !l->check(data))
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"field %s and the fields after it do not match",
			l->fields[0].name);
	return 0;
}

char *bb_wire_encode(const struct bb_message *m, size_t *size,
		     struct bb_error *err)
{
	const struct bb_layout *l;
	msgpack_sbuffer buffer;
	msgpack_packer p;

	if ((unsigned int)m->type >= BB_MESSAGE_TYPE_COUNT) {
		bb_error_set(err, BB_ERROR_INVALID, "unknown message type");
		return NULL;
	}
	l = &bb_wire_layouts[m->type];
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&p, &buffer, msgpack_sbuffer_write);
	if (msgpack_pack_array(&p, l->fields_nr + 2) ||
	    msgpack_pack_uint32(&p, BB_WIRE_VERSION) ||
	    msgpack_pack_uint32(&p, m->type)) {
		out_of_memory(err);
		goto fail;
	}
	if (pack_struct(&p, l, (const char *)&m->hello, err))
		goto fail;
	if (buffer.size > BB_WIRE_SIZE_MAX) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "encoded message of %zu bytes is over the limit",
			     buffer.size);
		goto fail;
	}
	*size = buffer.size;
	return msgpack_sbuffer_release(&buffer);
fail:
	msgpack_sbuffer_destroy(&buffer);
	return NULL;
}
