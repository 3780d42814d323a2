/*
 * Normal form of URI paths (RFC 3986, 6.2.2), in which a path and a prefix are
 * compared: a caller must neither reach nor avoid a route by spelling a path in
 * another way than the backend server, which may normalize it.
 */
#ifndef LIBCONFIG_URI_PATH_H
#define LIBCONFIG_URI_PATH_H

#include <stdbool.h>

/**
 * bb_uri_path_normalize() - normal form of a path.
 * @path: begins with '/', without query and fragment
 *
 * Decodes percent-encoded unreserved characters, writes the digits of the other
 * ones in upper case, and removes the segments "." and "..". Empty segments and
 * encoded reserved characters such as "%2F" are kept: they are not equivalent. A
 * '%' that begins no encoded byte is kept, too.
 *
 * Return: new string for g_free(), or NULL if @path is in normal form.
 */
char *bb_uri_path_normalize(const char *path);

/**
 * bb_uri_path_has_dot_segment() - whether a segment is "." or "..", literally or
 * percent-encoded.
 */
bool bb_uri_path_has_dot_segment(const char *path);

/**
 * bb_uri_path_is_encoded() - whether each '%' begins an encoded byte.
 */
bool bb_uri_path_is_encoded(const char *path);

#endif
