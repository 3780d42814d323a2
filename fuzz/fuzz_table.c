/*
 * Fuzzes the parser of tables: no input may crash it, an error must name the
 * file, and an accepted table must be written and read back unchanged.
 */
#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/table.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char base_text[] =
	"{\"version\":1,\"automation\":true,\"idempotency_window_ms\":1,"
	"\"hosts\":[{\"name\":\"h1\",\"region\":\"r\",\"zone\":\"z\","
	"\"address\":\"127.0.0.1\",\"data_port\":1,\"control_port\":2}],"
	"\"services\":[{\"name\":\"orders\",\"floor_percent\":50}]}";

static struct bb_config *apply(const char *data, size_t size,
			       const struct bb_config *base,
			       struct bb_error *err)
{
	struct bb_table_sheet *t =
		bb_table_sheet_parse(data, size, "t.csv", err);
	struct bb_config *c = t ? bb_table_sheet_apply(t, base, 2, err) : NULL;

	bb_table_sheet_delete(t);
	return c;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct bb_config *base;
	struct bb_error err = { 0 };
	struct bb_config *c, *again;
	char *text;

	if (!base)
		base = bb_config_parse(base_text, strlen(base_text), NULL);
	c = apply((const char *)data, size, base, &err);
	if (!c) {
		if (strncmp(err.message, "t.csv row", 9) != 0)
			abort();
		return 0;
	}
	text = bb_table_from_config(c);
	again = apply(text, strlen(text), base, &err);
	if (!again || bb_config_diff(c, again, NULL, NULL))
		abort();
	g_free(text);
	bb_config_delete(c);
	bb_config_delete(again);
	return 0;
}
