/* Writes rows and documents as JSON; equal snapshots give equal bytes. */
#include "config_internal.h"

#include <stdlib.h>
#include <string.h>

void bb_config_write_string(GString *out, const char *s)
{
	/* A missing optional value, when configurations are compared. */
	if (!s) {
		g_string_append(out, "null");
		return;
	}
	/* Validated text is UTF-8 without control characters. */
	g_string_append_c(out, '"');
	for (; *s; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *s);
	}
	g_string_append_c(out, '"');
}

static void write_real(GString *out, double d)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	/* 15 digits give the shorter form and often suffice to read back @d. */
	g_ascii_formatd(text, sizeof(text), "%.15g", d);
	if (g_ascii_strtod(text, NULL) != d)
		g_ascii_formatd(text, sizeof(text), "%.17g", d);
	g_string_append(out, text);
}

static void write_methods(GString *out, unsigned int methods)
{
	const char *separator = "[";

	for (size_t i = 0; i < BB_METHOD_COUNT; i++) {
		if (!(methods & 1U << i))
			continue;
		g_string_append(out, separator);
		bb_config_write_string(out, bb_method_string[i]);
		separator = ",";
	}
	g_string_append_c(out, ']');
}

static void write_key_hashes(GString *out, const struct bb_account *a)
{
	g_string_append_c(out, '[');
	for (size_t i = 0; i < a->key_hashes_nr; i++) {
		g_string_append(out, i ? ",\"" : "\"");
		for (size_t j = 0; j < BB_KEY_HASH_SIZE; j++)
			g_string_append_printf(out, "%02x",
					       a->key_hashes[i][j]);
		g_string_append_c(out, '"');
	}
	g_string_append_c(out, ']');
}

static void write_split(GString *out, const struct bb_config *c,
			const struct bb_route *r)
{
	g_string_append_c(out, '[');
	for (size_t i = 0; i < r->split_nr; i++) {
		g_string_append(out, i ? ",{\"service\":" : "{\"service\":");
		bb_config_write_string(out,
				       c->services[r->split[i].service].name);
		g_string_append(out, ",\"weight\":");
		write_real(out, r->split[i].weight);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}

void bb_config_write_value(GString *out, const struct bb_config *c,
			   const struct bb_column *column, const void *row)
{
	const void *field = (const char *)row + column->offset;

	switch (column->kind) {
	case BB_COLUMN_NAME:
	case BB_COLUMN_LABEL:
	case BB_COLUMN_HOST_NAME:
	case BB_COLUMN_TARGET:
	case BB_COLUMN_ADDRESS:
	case BB_COLUMN_URL:
	case BB_COLUMN_PATH:
		bb_config_write_string(out, *(char *const *)field);
		break;
	case BB_COLUMN_CURVE_KEY:
		bb_config_write_string(out, field);
		break;
	case BB_COLUMN_U16:
		g_string_append_printf(out, "%u", *(const uint16_t *)field);
		break;
	case BB_COLUMN_U32:
		g_string_append_printf(out, "%u", *(const uint32_t *)field);
		break;
	case BB_COLUMN_REAL:
		write_real(out, *(const double *)field);
		break;
	case BB_COLUMN_BOOL:
		g_string_append(out, *(const bool *)field ? "true" : "false");
		break;
	case BB_COLUMN_HOST:
		bb_config_write_string(out,
				       c->hosts[*(const uint32_t *)field].name);
		break;
	case BB_COLUMN_SERVICE:
		bb_config_write_string(
			out, c->services[*(const uint32_t *)field].name);
		break;
	case BB_COLUMN_STATE:
		bb_config_write_string(
			out, bb_backend_state_string[*(
				     const enum bb_backend_state *)field]);
		break;
	case BB_COLUMN_METHODS:
		write_methods(out, *(const unsigned int *)field);
		break;
	case BB_COLUMN_ACCESS:
		bb_config_write_string(
			out, bb_access_string[*(const enum bb_access *)field]);
		break;
	case BB_COLUMN_SPLIT:
		write_split(out, c, row);
		break;
	case BB_COLUMN_KEY_HASHES:
		write_key_hashes(out, row);
		break;
	case BB_COLUMN_KIND_COUNT:
		break;
	}
}

/* Sparse columns have one of the kinds in the switch. */
bool bb_config_is_omitted(const struct bb_column *column, const void *row)
{
	const void *field = (const char *)row + column->offset;

	if (!column->sparse)
		return false;
	switch (column->kind) {
	case BB_COLUMN_TARGET:
		return !strcmp(*(char *const *)field, BB_HEALTH_PATH_DEFAULT);
	case BB_COLUMN_HOST_NAME:
	case BB_COLUMN_SPLIT:
		return !*(void *const *)field;
	case BB_COLUMN_U32:
		return !*(const uint32_t *)field;
	case BB_COLUMN_BOOL:
		return !*(const bool *)field;
	case BB_COLUMN_REAL:
		return *(const double *)field == 0;
	default:
		return false;
	}
}

void bb_config_write_row(GString *out, const struct bb_config *c,
			 enum bb_table table, const void *row)
{
	const struct bb_table_description *t = &bb_tables[table];

	for (size_t i = 0; i < t->columns_nr; i++) {
		if (bb_config_is_omitted(&t->columns[i], row))
			continue;
		g_string_append(out, i ? ",\"" : "{\"");
		g_string_append(out, t->columns[i].name);
		g_string_append(out, "\":");
		bb_config_write_value(out, c, &t->columns[i], row);
	}
	g_string_append_c(out, '}');
}

static void write_version(GString *out, const char *name, uint64_t version)
{
	if (version)
		g_string_append_printf(out, ",\"%s\":%" G_GUINT64_FORMAT, name,
				       (guint64)version);
}

void bb_config_write_settings(GString *out, const struct bb_config *c)
{
	g_string_append_printf(out,
			       "\"automation\":%s,\"idempotency_window_ms\":%u",
			       c->automation ? "true" : "false",
			       c->idempotency_window_ms);
	write_version(out, "hosts_version", c->hosts_version);
	write_version(out, "hosts_version_before", c->hosts_version_before);
	bb_policies_write(out, &c->policies);
}

char *bb_config_to_json(const struct bb_config *c)
{
	GString *out = g_string_new(NULL);
	char *json;

	g_string_append_printf(out, "{\"version\":%" G_GUINT64_FORMAT ",",
			       (guint64)c->version);
	bb_config_write_settings(out, c);
	for (int t = 0; t < BB_TABLE_COUNT; t++) {
		size_t nr = bb_config_rows_nr(c, t);

		g_string_append_printf(out, ",\n\"%s\":[", bb_tables[t].name);
		for (size_t i = 0; i < nr; i++) {
			g_string_append(out, i ? ",\n" : "\n");
			bb_config_write_row(out, c, t, bb_config_row(c, t, i));
		}
		g_string_append_c(out, ']');
	}
	g_string_append(out, "}\n");
	json = strdup(out->str);
	g_string_free(out, TRUE);
	return json;
}
