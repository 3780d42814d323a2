/* Parses, applies and writes the operators' table. */
#include "baobabward/table.h"

#include <csv.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

/* Maximum size of a cell in bytes, with room for some hundred key hashes. */
#define CELL_MAX 65536
/* Separates the key hashes in their cell. */
#define HASH_SEPARATOR " "

/* Kinds of rows: the table in the document, and the name in column "kind". */
static const enum bb_table kinds[] = { BB_TABLE_ACCOUNTS, BB_TABLE_BACKENDS };
static const char *const kind_string[] = { "account", "backend" };

#define KINDS_NR G_N_ELEMENTS(kinds)

/* Columns of the written table, in order. */
static const char *const columns[] = { "kind",	    "name",
				       "weight",    "rate_per_s",
				       "burst",	    "unlimited",
				       "ranked",    "priority",
				       "host",	    "service",
				       "url",	    "state",
				       "slots",	    "max_connections",
				       "key_hashes" };

/**
 * struct bb_table_sheet - rows of both kinds as JSON.
 * @label: file name for error messages
 * @rows: JSON list of the row objects of each kind
 * @numbers: row number in the file for each of them
 * @header: column names
 * @cells: cells of the row being read
 * @row: number of the row being read
 * @last_terminator: byte that ended the previous row
 * @err: filled in by the first error
 * @failed: an error occurred
 */
struct bb_table_sheet {
	const char *label;
	json_t *rows[KINDS_NR];
	GArray *numbers[KINDS_NR];
	GPtrArray *header;
	GPtrArray *cells;
	size_t row;
	int last_terminator;
	struct bb_error *err;
	bool failed;
};

static void fail(struct bb_table_sheet *t, const char *name, const char *column,
		 const char *value, const char *rule)
{
	const struct bb_location location = { t->label, t->row, name, column };
	char quoted[BB_QUOTE_SIZE];

	t->failed = true;
	if (value)
		bb_location_error(&location, t->err, "\"%s\" %s",
				  bb_quote(value, quoted, sizeof(quoted)),
				  rule);
	else
		bb_location_error(&location, t->err, "%s", rule);
}

static const struct bb_column *find_column(enum bb_table table,
					   const char *name)
{
	for (size_t i = 0; i < bb_tables[table].columns_nr; i++)
		if (!strcmp(bb_tables[table].columns[i].name, name))
			return &bb_tables[table].columns[i];
	return NULL;
}

static const char *find_cell(const struct bb_table_sheet *t, const char *column)
{
	for (guint i = 0; i < t->header->len && i < t->cells->len; i++)
		if (!strcmp(t->header->pdata[i], column))
			return t->cells->pdata[i];
	return "";
}

static void read_header(struct bb_table_sheet *t)
{
	GPtrArray *names = t->header;

	t->header = t->cells;
	t->cells = names;
	for (guint i = 0; i < t->header->len; i++) {
		const char *name = t->header->pdata[i];
		bool known = !strcmp(name, "kind");

		for (size_t k = 0; k < KINDS_NR; k++)
			known = known || find_column(kinds[k], name);
		if (!known) {
			fail(t, NULL, NULL, name, "is not a known column");
			return;
		}
		for (guint j = 0; j < i; j++) {
			if (!strcmp(name, t->header->pdata[j])) {
				fail(t, NULL, name, NULL,
				     "column is given twice");
				return;
			}
		}
	}
	for (guint i = 0; i < 2; i++)
		if (!g_ptr_array_find_with_equal_func(t->header, columns[i],
						      g_str_equal, NULL) &&
		    !t->failed)
			fail(t, NULL, columns[i], NULL, "column is missing");
}

/*
 * Parses a number in decimal notation; NULL for anything else, such as a
 * hexadecimal number or a decimal comma.
 */
static json_t *number_value(const char *s, bool whole)
{
	char *end;
	double d;

	if (!*s ||
	    strspn(s, whole ? "0123456789" : "0123456789.eE+-") != strlen(s))
		return NULL;
	if (whole) {
		long long n;

		errno = 0;
		n = strtoll(s, &end, 10);
		return errno ? NULL : json_integer(n);
	}
	d = g_ascii_strtod(s, &end);
	/* json_real() also returns NULL for infinity. */
	return *end ? NULL : json_real(d);
}

static json_t *hashes_value(const char *s)
{
	char **parts = g_strsplit(s, HASH_SEPARATOR, -1);
	json_t *list = json_array();

	for (size_t i = 0; parts[i]; i++)
		if (*parts[i])
			json_array_append_new(list, json_string(parts[i]));
	g_strfreev(parts);
	return list;
}

static json_t *bool_value(const char *s)
{
	if (strcmp(s, "true") != 0 && strcmp(s, "false") != 0)
		return NULL;
	return json_boolean(*s == 't');
}

static json_t *cell_value(const struct bb_column *column, const char *s)
{
	switch (column->kind) {
	case BB_COLUMN_U32:
		return number_value(s, true);
	case BB_COLUMN_REAL:
		return number_value(s, false);
	case BB_COLUMN_KEY_HASHES:
		return hashes_value(s);
	case BB_COLUMN_BOOL:
		return bool_value(s);
	default:
		return json_string(s);
	}
}

static json_t *read_cells(struct bb_table_sheet *t, enum bb_table table,
			  const char *name)
{
	json_t *row = json_object();

	for (guint i = 0; i < t->cells->len && !t->failed; i++) {
		const char *header = t->header->pdata[i];
		const char *cell = t->cells->pdata[i];
		const struct bb_column *column = find_column(table, header);
		json_t *value;

		if (!strcmp(header, "kind"))
			continue;
		/* An empty cell is a missing value, except for key hashes. */
		if (!*cell && (!column || column->kind != BB_COLUMN_KEY_HASHES))
			continue;
		if (!column) {
			fail(t, name, header, NULL,
			     "cell must be empty in a row of this kind");
			break;
		}
		value = cell_value(column, cell);
		if (!value)
			fail(t, name, header, cell,
			     column->kind == BB_COLUMN_U32 ?
				     "is not a whole number" :
			     column->kind == BB_COLUMN_REAL ?
				     "is not a decimal number" :
			     column->kind == BB_COLUMN_BOOL ?
				     "is not true or false" :
				     "is not UTF-8");
		else
			json_object_set_new(row, header, value);
	}
	return row;
}

static void read_row(struct bb_table_sheet *t)
{
	const char *name = find_cell(t, "name");
	const char *kind = find_cell(t, "kind");

	if (t->cells->len != t->header->len) {
		fail(t, name, NULL, NULL,
		     "row and header have different numbers of cells");
		return;
	}
	for (size_t k = 0; k < KINDS_NR; k++) {
		if (strcmp(kind, kind_string[k]) != 0)
			continue;
		json_array_append_new(t->rows[k],
				      read_cells(t, kinds[k], name));
		g_array_append_val(t->numbers[k], t->row);
		return;
	}
	fail(t, name, "kind", kind, "is not account or backend");
}

static void on_cell(void *data, size_t size, void *context)
{
	struct bb_table_sheet *t = context;
	char *cell;

	if (t->failed)
		return;
	if (size > CELL_MAX || (size && memchr(data, '\0', size)))
		fail(t, NULL, NULL, NULL,
		     "cell is too long or holds a NUL byte");
	cell = g_strndup(data ? data : "", size > CELL_MAX ? 0 : size);
	g_ptr_array_add(t->cells, cell);
}

static bool is_blank(const GPtrArray *cells)
{
	for (guint i = 0; i < cells->len; i++)
		if (*(const char *)cells->pdata[i])
			return false;
	return true;
}

static void on_row(int end, void *context)
{
	struct bb_table_sheet *t = context;

	/* The LF of a CR LF does not end another row. */
	if (end == '\n' && t->last_terminator == '\r' && !t->cells->len) {
		t->last_terminator = end;
		return;
	}
	t->last_terminator = end;
	if (!t->failed) {
		if (!t->header->len)
			read_header(t);
		else if (!is_blank(t->cells))
			read_row(t);
	}
	g_ptr_array_set_size(t->cells, 0);
	t->row++;
}

static struct bb_table_sheet *sheet_new(const char *label, struct bb_error *err)
{
	struct bb_table_sheet *t = g_new0(struct bb_table_sheet, 1);

	t->label = label;
	t->err = err;
	t->row = 1;
	t->header = g_ptr_array_new_with_free_func(g_free);
	t->cells = g_ptr_array_new_with_free_func(g_free);
	for (size_t k = 0; k < KINDS_NR; k++) {
		t->rows[k] = json_array();
		t->numbers[k] = g_array_new(FALSE, FALSE, sizeof(size_t));
	}
	return t;
}

void bb_table_sheet_delete(struct bb_table_sheet *t)
{
	if (!t)
		return;
	for (size_t k = 0; k < KINDS_NR; k++) {
		json_decref(t->rows[k]);
		g_array_free(t->numbers[k], TRUE);
	}
	g_ptr_array_free(t->header, TRUE);
	g_ptr_array_free(t->cells, TRUE);
	g_free(t);
}

struct bb_table_sheet *bb_table_sheet_parse(const char *data, size_t size,
					    const char *label,
					    struct bb_error *err)
{
	static const char bom[] = "\xef\xbb\xbf";
	struct bb_table_sheet *t = sheet_new(label, err);
	struct csv_parser parser;

	/* Spreadsheet programs write a byte order mark. */
	if (size >= 3 && !memcmp(data, bom, 3)) {
		data += 3;
		size -= 3;
	}
	if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL)) {
		fail(t, NULL, NULL, NULL, "out of memory");
		bb_table_sheet_delete(t);
		return NULL;
	}
	if ((csv_parse(&parser, data, size, on_cell, on_row, t) != size ||
	     csv_fini(&parser, on_cell, on_row, t)) &&
	    !t->failed)
		fail(t, NULL, NULL, NULL, csv_strerror(csv_error(&parser)));
	csv_free(&parser);
	if (!t->failed && !t->header->len)
		fail(t, NULL, NULL, NULL, "table has no header");
	t->err = NULL;
	if (!t->failed)
		return t;
	bb_table_sheet_delete(t);
	return NULL;
}

static int add_kind(struct bb_config_builder *b, const struct bb_table_sheet *t,
		    size_t k, struct bb_error *err)
{
	int rc;

	b->label = t->label;
	b->row_numbers = (const size_t *)t->numbers[k]->data;
	rc = bb_config_builder_add(b, kinds[k], t->rows[k], err);
	b->label = NULL;
	b->row_numbers = NULL;
	return rc;
}

static int apply(struct bb_config_builder *b, const struct bb_table_sheet *t,
		 json_t *root, struct bb_error *err)
{
	if (bb_config_builder_read_settings(b, root, err))
		return -1;
	for (int table = 0; table < BB_TABLE_COUNT; table++) {
		const json_t *rows =
			json_object_get(root, bb_tables[table].name);
		size_t k;

		for (k = 0; k < KINDS_NR; k++)
			if ((int)kinds[k] == table)
				break;
		if (k < KINDS_NR ? add_kind(b, t, k, err) :
				   bb_config_builder_add(b, table, rows, err))
			return -1;
	}
	return 0;
}

struct bb_config *bb_table_sheet_apply(const struct bb_table_sheet *t,
				       const struct bb_config *base,
				       uint64_t version, struct bb_error *err)
{
	struct bb_config_builder *b = bb_config_builder_new();
	char *text = bb_config_to_json(base);
	json_t *root = bb_config_load_json(text, strlen(text), "base", err);
	int rc = -1;

	free(text);
	if (root) {
		json_object_set_new(root, "version", json_integer(version));
		rc = apply(b, t, root, err);
		json_decref(root);
	}
	if (!rc)
		return bb_config_builder_finish(b, err);
	bb_config_builder_delete(b);
	return NULL;
}

static void write_cell(GString *out, const struct bb_config *c,
		       const struct bb_column *column, const void *row)
{
	GString *json = g_string_new(NULL);
	json_t *value;

	bb_config_write_value(json, c, column, row);
	value = json_loadb(json->str, json->len, JSON_DECODE_ANY, NULL);
	if (json_is_string(value)) {
		char *quoted = g_malloc(json_string_length(value) * 2 + 2);
		size_t size = csv_write(quoted,
					json_string_length(value) * 2 + 2,
					json_string_value(value),
					json_string_length(value));

		g_string_append_len(out, quoted, size);
		g_free(quoted);
	} else if (json_is_array(value)) {
		for (size_t i = 0; i < json_array_size(value); i++) {
			g_string_append(out, i ? HASH_SEPARATOR : "");
			g_string_append(out, json_string_value(
						     json_array_get(value, i)));
		}
	} else {
		g_string_append(out, json->str);
	}
	json_decref(value);
	g_string_free(json, TRUE);
}

char *bb_table_from_config(const struct bb_config *c)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++)
		g_string_append_printf(out, "%s%s", i ? "," : "", columns[i]);
	for (size_t k = 0; k < KINDS_NR; k++) {
		for (size_t r = 0; r < bb_config_rows_nr(c, kinds[k]); r++) {
			const void *row = bb_config_row(c, kinds[k], r);

			g_string_append_printf(out, "\n%s", kind_string[k]);
			for (size_t i = 1; i < G_N_ELEMENTS(columns); i++) {
				const struct bb_column *column =
					find_column(kinds[k], columns[i]);

				g_string_append_c(out, ',');
				if (column &&
				    !bb_config_is_omitted(column, row))
					write_cell(out, c, column, row);
			}
		}
	}
	g_string_append_c(out, '\n');
	return g_string_free(out, FALSE);
}
