/* Policies of a document: reads, writes and compares them by one table. */
#include <stddef.h>
#include <string.h>

#include "config_internal.h"

/* Greatest age of a connection that a non-idempotent request may use. Servers
 * close idle connections after some seconds. */
#define REUSE_MAX_MS 60000
/* Far above the 3 KB/s that a node may use for control. */
#define REPORT_BYTES_MAX 1000000

/**
 * struct policy - a policy.
 * @name: field of the object "policies"
 * @offset: offset of its value in struct bb_policies
 * @max: greatest value
 */
struct policy {
	const char *name;
	size_t offset;
	uint32_t max;
};

static const struct policy policy_table[] = {
	{ "report_bytes_per_s",
	  offsetof(struct bb_policies, report_bytes_per_s), REPORT_BYTES_MAX },
	{ "place_by_cost", offsetof(struct bb_policies, place_by_cost), 1 },
	{ "rank_order", offsetof(struct bb_policies, rank_order), 1 },
	{ "reuse_ms", offsetof(struct bb_policies, reuse_ms), REUSE_MAX_MS },
};

static const struct policy *find_policy(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_table); i++)
		if (!strcmp(policy_table[i].name, name))
			return &policy_table[i];
	return NULL;
}

static uint32_t *policy_value(struct bb_policies *p, const struct policy *d)
{
	return (uint32_t *)(void *)((char *)p + d->offset);
}

static uint32_t get_policy(const struct bb_policies *p, const struct policy *d)
{
	return *(const uint32_t *)(const void *)((const char *)p + d->offset);
}

int bb_policies_read(struct bb_policies *p, json_t *root, struct bb_error *err)
{
	struct bb_location location = { "document", 0, NULL, "policies" };
	json_t *object = json_object_get(root, "policies");
	char quoted[BB_QUOTE_SIZE];
	const char *name;
	json_t *value;

	*p = (struct bb_policies){ 0 };
	if (!object)
		return 0;
	if (!json_is_object(object))
		return bb_location_error(&location, err,
					 "value is not an object");
	json_object_foreach (object, name, value) {
		const struct policy *d = find_policy(name);
		json_int_t n = json_integer_value(value);

		if (!d)
			return bb_location_error(
				&location, err, "unknown policy \"%s\"",
				bb_quote(name, quoted, sizeof(quoted)));
		if (!json_is_integer(value) || n < 0 || n > d->max)
			return bb_location_error(
				&location, err,
				"%s is not a whole number from 0 to %u",
				d->name, d->max);
		*policy_value(p, d) = (uint32_t)n;
	}
	return 0;
}

void bb_policies_write(GString *out, const struct bb_policies *p)
{
	bool any = false;

	for (size_t i = 0; i < G_N_ELEMENTS(policy_table); i++) {
		const struct policy *d = &policy_table[i];

		if (!get_policy(p, d))
			continue;
		g_string_append(out, any ? "," : ",\"policies\":{");
		g_string_append_printf(out, "\"%s\":%u", d->name,
				       get_policy(p, d));
		any = true;
	}
	if (any)
		g_string_append_c(out, '}');
}

void bb_policies_diff(const struct bb_policies *before,
		      const struct bb_policies *after, bb_policy_change_fn *fn,
		      void *data)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_table); i++) {
		const struct policy *d = &policy_table[i];

		if (get_policy(before, d) != get_policy(after, d))
			fn(data, d->name, get_policy(before, d),
			   get_policy(after, d));
	}
}
