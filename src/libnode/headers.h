/*
 * Parsing of HTTP header lines, and the rules on which headers a proxy passes
 * on: none that belong to one connection, and no credentials.
 */
#ifndef BB_NODE_HEADERS_H
#define BB_NODE_HEADERS_H

#include <stdbool.h>
#include <stddef.h>

#include "baobabward/dialect.h"
#include "baobabward/wire.h"

/**
 * bb_header_parse() - split a header line into name and value.
 * @line: line without LF, with or without CR
 * @size: number of bytes
 * @h: set on success; points into @line, without whitespace around the value and
 *     before the colon
 *
 * Return: false if the line has no name.
 */
bool bb_header_parse(const char *line, size_t size, struct bb_header *h);

/**
 * bb_header_name_is_valid() - whether a header name is a token (RFC 9110, section
 * 5.6.2). Servers may take others for the name of another header, for example
 * one with a space before its colon.
 */
bool bb_header_name_is_valid(const struct bb_bytes *name);

/**
 * bb_header_is() - compare header names, ignoring case.
 */
bool bb_header_is(const struct bb_bytes *name, const char *other);

/**
 * bb_header_named() - like bb_header_is(), but false if @other is NULL.
 */
bool bb_header_named(const struct bb_bytes *name, const char *other);

/**
 * bb_header_is_hop_by_hop() - whether a header belongs to one connection
 * (RFC 9110, section 7.6.1) or is written by the proxy itself.
 */
bool bb_header_is_hop_by_hop(const struct bb_bytes *name);

/**
 * bb_header_is_withheld() - whether a request header is not passed on to
 * backend servers: credentials, hop-by-hop headers, and headers that the proxy
 * sets itself; also with underscores for hyphens, which servers that hand headers
 * on as variables cannot tell apart.
 */
bool bb_header_is_withheld(const struct bb_bytes *name,
			   const struct bb_dialect *d);

/**
 * bb_header_in_connection_list() - whether a Connection header names a header.
 * @value: value of the Connection header, a comma-separated list
 * @name: header name
 */
bool bb_header_in_connection_list(const char *value,
				  const struct bb_bytes *name);

#endif
