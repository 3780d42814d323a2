/*
 * The body of a request of another node while it is read, one part after the
 * other. Its memory has been admitted by the caller.
 */
#ifndef BB_NODE_INCOMING_BODY_H
#define BB_NODE_INCOMING_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/wire.h"

/**
 * struct bb_incoming_body - a body that is being read; all zero for none.
 * @data: buffer of @size bytes
 * @size: size of the body
 * @received: bytes received so far
 * @moved_us: when the last part arrived, or the body was begun
 */
struct bb_incoming_body {
	char *data;
	size_t size;
	size_t received;
	int64_t moved_us;
};

/**
 * bb_incoming_body_begin() - allocate the buffer.
 *
 * Return: false if there is no memory.
 */
bool bb_incoming_body_begin(struct bb_incoming_body *b, size_t size,
			    int64_t now_us);

/**
 * bb_incoming_body_part_size() - size of the part that begins at @received.
 *
 * Return: 0 if the body is complete.
 */
uint32_t bb_incoming_body_part_size(const struct bb_incoming_body *b);

/**
 * bb_incoming_body_add() - add the part that was asked for.
 *
 * Return: false if it is another part; it is left out.
 */
bool bb_incoming_body_add(struct bb_incoming_body *b, size_t offset,
			  const struct bb_bytes *part, int64_t now_us);

/**
 * bb_incoming_body_is_receiving() - whether a part is still missing.
 */
bool bb_incoming_body_is_receiving(const struct bb_incoming_body *b);

/**
 * bb_incoming_body_end() - free the buffer.
 */
void bb_incoming_body_end(struct bb_incoming_body *b);

#endif
