#include "uri_path.h"

#include <glib.h>
#include <string.h>

/* Byte that a percent-encoded triplet stands for, or -1. */
static int encoded_byte(const char *s)
{
	if (s[0] != '%' || !g_ascii_isxdigit(s[1]) || !g_ascii_isxdigit(s[2]))
		return -1;
	return g_ascii_xdigit_value(s[1]) << 4 | g_ascii_xdigit_value(s[2]);
}

static bool is_unreserved(int c)
{
	return c > 0 && c < 0x80 &&
	       (g_ascii_isalnum((char)c) || strchr("-._~", c));
}

bool bb_uri_path_is_encoded(const char *path)
{
	for (const char *s = strchr(path, '%'); s; s = strchr(s + 1, '%'))
		if (encoded_byte(s) < 0)
			return false;
	return true;
}

static GString *decode_unreserved(const char *path)
{
	GString *out = g_string_sized_new(strlen(path));

	for (const char *s = path; *s; s++) {
		int byte = encoded_byte(s);

		if (byte < 0)
			g_string_append_c(out, *s);
		else if (is_unreserved(byte))
			g_string_append_c(out, (char)byte);
		else
			g_string_append_printf(out, "%%%02X",
					       (unsigned int)byte);
		s += byte < 0 ? 0 : 2;
	}
	return out;
}

/* "/." or "/.." and the end of a segment. */
static bool begins_dot_segment(const char *s)
{
	size_t dots = s[0] == '/' ? strspn(s + 1, ".") : 0;

	return (dots == 1 || dots == 2) && (s[1 + dots] == '/' || !s[1 + dots]);
}

bool bb_uri_path_has_dot_segment(const char *path)
{
	GString *decoded = decode_unreserved(path);
	bool found = false;

	for (const char *s = decoded->str; *s && !found; s++)
		found = begins_dot_segment(s);
	g_string_free(decoded, TRUE);
	return found;
}

/* RFC 3986, 5.2.4, for a path that begins with '/'. */
static char *remove_dot_segments(const char *path)
{
	GString *out = g_string_sized_new(strlen(path));
	const char *s = path;

	while (*s) {
		size_t size = strcspn(s + 1, "/") + 1;
		bool up = size == 3 && !strncmp(s, "/..", 3);
		bool dot = size == 2 && s[1] == '.';

		if (up && strrchr(out->str, '/'))
			g_string_truncate(out,
					  strrchr(out->str, '/') - out->str);
		if (!up && !dot)
			g_string_append_len(out, s, (gssize)size);
		else if (!s[size])
			g_string_append_c(out, '/');
		s += size;
	}
	return g_string_free(out, FALSE);
}

char *bb_uri_path_normalize(const char *path)
{
	GString *decoded;
	char *normal;

	if (path[0] != '/' || (!strchr(path, '%') && !strstr(path, "/.")))
		return NULL;
	decoded = decode_unreserved(path);
	normal = remove_dot_segments(decoded->str);
	g_string_free(decoded, TRUE);
	if (strcmp(normal, path) != 0)
		return normal;
	g_free(normal);
	return NULL;
}
