/* Lists the differences between two configurations. */
#include <string.h>

#include "baobabward/table.h"
#include "config_internal.h"

/* State of a comparison; @nr is the number of differences so far. */
struct diff {
	const struct bb_config *before;
	const struct bb_config *after;
	bb_config_change_fn *fn;
	void *context;
	size_t nr;
};

static void report(struct diff *d, const char *table, const char *row,
		   const char *column, const char *before, const char *after)
{
	const struct bb_config_change change = { table, row, column, before,
						 after };

	d->nr++;
	if (d->fn)
		d->fn(d->context, &change);
}

static void report_policy(void *data, const char *name, uint32_t before,
			  uint32_t after)
{
	char old[16], new[16];

	g_snprintf(old, sizeof(old), "%u", before);
	g_snprintf(new, sizeof(new), "%u", after);
	report(data, "policies", NULL, name, old, new);
}

static void diff_settings(struct diff *d)
{
	const struct bb_config *a = d->before;
	const struct bb_config *b = d->after;
	char before[16];
	char after[16];

	if (a->automation != b->automation)
		report(d, "document", NULL, "automation",
		       a->automation ? "true" : "false",
		       b->automation ? "true" : "false");
	bb_policies_diff(&a->policies, &b->policies, report_policy, d);
	if (a->idempotency_window_ms == b->idempotency_window_ms)
		return;
	g_snprintf(before, sizeof(before), "%u", a->idempotency_window_ms);
	g_snprintf(after, sizeof(after), "%u", b->idempotency_window_ms);
	report(d, "document", NULL, "idempotency_window_ms", before, after);
}

static void diff_row(struct diff *d, enum bb_table table, const void *before,
		     const void *after)
{
	const struct bb_table_description *t = &bb_tables[table];
	GString *a = g_string_new(NULL);
	GString *b = g_string_new(NULL);

	for (size_t i = 0; i < t->columns_nr; i++) {
		g_string_truncate(a, 0);
		g_string_truncate(b, 0);
		bb_config_write_value(a, d->before, &t->columns[i], before);
		bb_config_write_value(b, d->after, &t->columns[i], after);
		if (!g_string_equal(a, b))
			report(d, t->name, *(char *const *)before,
			       t->columns[i].name, a->str, b->str);
	}
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
}

/* Row of the same name in another configuration, or NULL. */
static const void *find_row(const struct bb_config *c, enum bb_table table,
			    const char *name)
{
	uint32_t i = bb_config_index_find(c, table, name, strlen(name));

	return i == BB_NO_ROW ? NULL : bb_config_row(c, table, i);
}

/* Reports the rows of @c that @other lacks. */
static void diff_presence(struct diff *d, enum bb_table table,
			  const struct bb_config *c,
			  const struct bb_config *other)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < bb_config_rows_nr(c, table); i++) {
		const char *name = bb_config_row_name(c, table, i);

		if (find_row(other, table, name))
			continue;
		g_string_truncate(text, 0);
		bb_config_write_row(text, c, table, bb_config_row(c, table, i));
		report(d, bb_tables[table].name, name, NULL,
		       c == d->before ? text->str : NULL,
		       c == d->after ? text->str : NULL);
	}
	g_string_free(text, TRUE);
}

size_t bb_config_diff(const struct bb_config *before,
		      const struct bb_config *after, bb_config_change_fn *fn,
		      void *context)
{
	struct diff d = { before, after, fn, context, 0 };

	if (before == after)
		return 0;
	diff_settings(&d);
	for (int t = 0; t < BB_TABLE_COUNT; t++) {
		diff_presence(&d, t, before, after);
		diff_presence(&d, t, after, before);
		for (size_t i = 0; i < bb_config_rows_nr(before, t); i++) {
			const void *row = bb_config_row(before, t, i);
			const void *other =
				find_row(after, t, *(char *const *)row);

			if (other)
				diff_row(&d, t, row, other);
		}
	}
	return d.nr;
}
