/*
 * Layout of every message: the order, kind and limit of its fields. Encoder and
 * decoder use the same tables, so their formats cannot differ.
 */
#ifndef BB_WIRE_LAYOUT_H
#define BB_WIRE_LAYOUT_H

#include "baobabward/wire.h"

/*
 * Deepest nesting of arrays: message, list, element of the list, struct in the
 * element (RECORD_TRANSFER, with the outcome of an entry), or message, request,
 * list of its headers, header (EXECUTE_LARGE).
 */
#define BB_WIRE_DEPTH_MAX 4

/**
 * enum bb_field_kind - how a field is stored and encoded.
 * @BB_FIELD_U64: uint64_t
 * @BB_FIELD_U32: uint32_t up to the field's limit
 * @BB_FIELD_I64: int64_t
 * @BB_FIELD_BOOL: bool
 * @BB_FIELD_ENUM: enum below the field's limit
 * @BB_FIELD_BYTES: struct bb_bytes of at most limit bytes
 * @BB_FIELD_FIXED: uint8_t array of exactly limit bytes
 * @BB_FIELD_STRUCT: struct with its own layout, encoded as a nested array
 * @BB_FIELD_LIST: pointer to the first element and size_t number of elements,
 *                 at most limit
 */
enum bb_field_kind {
	BB_FIELD_U64,
	BB_FIELD_U32,
	BB_FIELD_I64,
	BB_FIELD_BOOL,
	BB_FIELD_ENUM,
	BB_FIELD_BYTES,
	BB_FIELD_FIXED,
	BB_FIELD_STRUCT,
	BB_FIELD_LIST
};

/**
 * struct bb_field - one field of a struct.
 * @name: C name, for error messages
 * @kind: how it is stored and encoded
 * @limit: largest value, size or number of elements, see enum bb_field_kind
 * @offset: offset of the field in its struct, in bytes
 * @nr_offset: offset of the number of elements of a list, in bytes
 * @layout: layout of a nested struct, or of the elements of a list
 */
struct bb_field {
	const char *name;
	enum bb_field_kind kind;
	uint32_t limit;
	size_t offset;
	size_t nr_offset;
	const struct bb_layout *layout;
};

/**
 * struct bb_layout - layout of a struct.
 * @fields: in encoding order; a list element with a single field is encoded
 *          as that field, without an array around it
 * @fields_nr: number of @fields
 * @size: size of the struct in bytes
 * @check: whether fields that depend on each other match, or NULL
 */
struct bb_layout {
	const struct bb_field *fields;
	size_t fields_nr;
	size_t size;
	bool (*check)(const void *data);
};

/* Layout of each message type, indexed by enum bb_message_type. */
extern const struct bb_layout bb_wire_layouts[];

#endif
