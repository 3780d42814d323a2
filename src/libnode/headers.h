/* HTTP header rules of a proxy. */
#ifndef BB_NODE_HEADERS_H
#define BB_NODE_HEADERS_H

#include <stdbool.h>
#include <stddef.h>

#include "baobabward/dialect.h"
#include "baobabward/wire.h"

/**
 * bb_header_parse() - split a header line; the bytes are not copied.
 * @line: line without LF, with or without CR
 * @size: number of bytes
 * @h: set on success, blanks around the value removed
 *
 * Return: false if the line has no name.
 */
bool bb_header_parse(const char *line, size_t size, struct bb_header *h);

/**
 * bb_header_is() - compare a name without regard to case.
 */
bool bb_header_is(const struct bb_bytes *name, const char *other);

/**
 * bb_header_named() - the same for a name that may be NULL.
 */
bool bb_header_named(const struct bb_bytes *name, const char *other);

/**
 * bb_header_is_hop_by_hop() - header that belongs to one connection
 * (RFC 9110, section 7.6.1) or that the proxy writes itself.
 */
bool bb_header_is_hop_by_hop(const struct bb_bytes *name);

/**
 * bb_header_is_withheld() - request header that no backend server may see or
 * that the proxy sets itself: credentials, and headers of the hop.
 */
bool bb_header_is_withheld(const struct bb_bytes *name,
			   const struct bb_dialect *d);

/**
 * bb_header_in_connection_list() - whether a Connection header's value lists a name.
 * @value: comma-separated list
 * @name: header name
 */
bool bb_header_in_connection_list(const char *value,
				  const struct bb_bytes *name);

#endif
