#include "libnode/incoming_body.h"

#include <glib.h>
#include <string.h>

bool bb_incoming_body_begin(struct bb_incoming_body *b, size_t size,
			    int64_t now_us)
{
	*b = (struct bb_incoming_body){
		.data = g_try_malloc(size),
		.size = size,
		.moved_us = now_us,
	};
	return b->data;
}

uint32_t bb_incoming_body_part_size(const struct bb_incoming_body *b)
{
	return (uint32_t)MIN(b->size - b->received, BB_BODY_PART_MAX);
}

bool bb_incoming_body_add(struct bb_incoming_body *b, size_t offset,
			  const struct bb_bytes *part, int64_t now_us)
{
	if (!bb_incoming_body_is_receiving(b) || offset != b->received ||
	    part->size != bb_incoming_body_part_size(b))
		return false;
	memcpy(b->data + offset, part->data, part->size);
	b->received += part->size;
	b->moved_us = now_us;
	return true;
}

bool bb_incoming_body_is_receiving(const struct bb_incoming_body *b)
{
	return b->data && b->received < b->size;
}

void bb_incoming_body_end(struct bb_incoming_body *b)
{
	g_free(b->data);
	*b = (struct bb_incoming_body){ 0 };
}
