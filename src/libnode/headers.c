#include "libnode/headers.h"

#include <glib.h>
#include <string.h>

/* "content-length" is not hop-by-hop, but the proxy writes its own. */
static const char *const hop_by_hop[] = { "connection",	       "keep-alive",
					  "proxy-connection",  "te",
					  "trailer",	       "upgrade",
					  "transfer-encoding", "content-length",
					  "proxy-authenticate" };

/* Request headers that are not passed on, besides those of the dialect. */
static const char *const withheld[] = { "authorization", "proxy-authorization",
					"expect", "traceparent",
					"accept-encoding" };

bool bb_header_parse(const char *line, size_t size, struct bb_header *h)
{
	const char *colon = memchr(line, ':', size);
	const char *name_end = colon;
	const char *v, *end = line + size;

	while (name_end && name_end > line && g_ascii_isspace(name_end[-1]))
		name_end--;
	if (!colon || name_end == line)
		return false;
	v = colon + 1;
	while (v < end && g_ascii_isspace(*v))
		v++;
	while (end > v && g_ascii_isspace(end[-1]))
		end--;
	h->name.data = line;
	h->name.size = (size_t)(name_end - line);
	h->value.data = v;
	h->value.size = (size_t)(end - v);
	return true;
}

bool bb_header_name_is_valid(const struct bb_bytes *name)
{
	for (size_t i = 0; i < name->size; i++) {
		char c = name->data[i];

		if (!c ||
		    (!g_ascii_isalnum(c) && !strchr("!#$%&'*+-.^_`|~", c)))
			return false;
	}
	return name->size;
}

bool bb_header_is(const struct bb_bytes *name, const char *other)
{
	return name->size == strlen(other) &&
	       !g_ascii_strncasecmp(name->data, other, name->size);
}

static bool is_one_of(const struct bb_bytes *name, const char *const *list,
		      size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		if (bb_header_is(name, list[i]))
			return true;
	return false;
}

bool bb_header_is_hop_by_hop(const struct bb_bytes *name)
{
	return is_one_of(name, hop_by_hop, G_N_ELEMENTS(hop_by_hop));
}

bool bb_header_named(const struct bb_bytes *name, const char *other)
{
	return other && bb_header_is(name, other);
}

static bool is_withheld(const struct bb_bytes *name, const struct bb_dialect *d)
{
	return bb_header_is_hop_by_hop(name) ||
	       is_one_of(name, withheld, G_N_ELEMENTS(withheld)) ||
	       (!d->forward_host && bb_header_is(name, "host")) ||
	       bb_header_named(name, d->api_key) ||
	       bb_header_named(name, d->account) ||
	       bb_header_named(name, d->deadline) ||
	       bb_header_named(name, d->caller_service) ||
	       bb_header_named(name, d->backend_id);
}

bool bb_header_is_withheld(const struct bb_bytes *name,
			   const struct bb_dialect *d)
{
	struct bb_bytes hyphens = *name;
	char *copy;
	bool withheld_too;

	if (is_withheld(name, d))
		return true;
	if (!memchr(name->data, '_', name->size))
		return false;
	hyphens.data = copy = g_strndup(name->data, name->size);
	g_strdelimit(copy, "_", '-');
	withheld_too = is_withheld(&hyphens, d);
	g_free(copy);
	return withheld_too;
}

bool bb_header_in_connection_list(const char *value,
				  const struct bb_bytes *name)
{
	while (*value) {
		struct bb_bytes item;
		size_t n = strcspn(value, ",");

		item.data = value;
		item.size = n;
		while (item.size && g_ascii_isspace(*item.data)) {
			item.data++;
			item.size--;
		}
		while (item.size && g_ascii_isspace(item.data[item.size - 1]))
			item.size--;
		if (item.size == name->size &&
		    !g_ascii_strncasecmp(item.data, name->data, item.size))
			return true;
		value += n;
		if (*value)
			value++;
	}
	return false;
}
