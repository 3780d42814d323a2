/* Subcommands table check, build, diff and export. */
#include "baobabward/table.h"

#include <stdio.h>
#include <stdlib.h>

#include "command.h"

static void print_counts(const struct bb_config *c, const char *name)
{
	if (json_output)
		print_json(json_pack("{s:b, s:I, s:I, s:I}", "valid", 1,
				     "version", (json_int_t)c->version,
				     "accounts", (json_int_t)c->accounts_nr,
				     "backends", (json_int_t)c->backends_nr));
	else
		printf("%s: valid, %zu client accounts, %zu backend servers\n",
		       name, c->accounts_nr, c->backends_nr);
}

/*
 * Reads the table as the successor of the base document. The base is the
 * document in force, so a change that the fleet must not make in one step is
 * reported here, before it is published.
 */
static struct bb_config *read_successor(const char *table, const char *base,
					gint64 version, struct bb_error *err)
{
	struct bb_config *b;
	struct bb_config *c;

	if (!base) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "a table needs a base document (--base)");
		return NULL;
	}
	b = read_config(base, NULL, 0, err);
	if (!b)
		return NULL;
	c = read_config(table, b, version ? (uint64_t)version : b->version + 1,
			err);
	if (c && (bb_config_check_successor(b, c, err) ||
		  bb_config_set_hosts_versions(b, c, err))) {
		bb_config_delete(c);
		c = NULL;
	}
	bb_config_delete(b);
	return c;
}

int table_check(const struct command *command, int argc, char **argv)
{
	char *base = NULL;
	const GOptionEntry entries[] = {
		{ "base", 'b', 0, G_OPTION_ARG_FILENAME, &base,
		  "Document in force, for all but the table", "DOCUMENT" },
		{ 0 }
	};
	struct bb_error err = { 0 };
	struct bb_config *c;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 1, &rc))
		return rc;
	c = read_successor(argv[1], base, 0, &err);
	g_free(base);
	if (!c)
		return fail(&err);
	print_counts(c, argv[1]);
	bb_config_delete(c);
	return EXIT_OK;
}

int table_build(const struct command *command, int argc, char **argv)
{
	char *base = NULL;
	char *output = NULL;
	gint64 version = 0;
	const GOptionEntry entries[] = {
		{ "base", 'b', 0, G_OPTION_ARG_FILENAME, &base,
		  "Document in force, for all but the table", "DOCUMENT" },
		{ "output", 'o', 0, G_OPTION_ARG_FILENAME, &output,
		  "Write the document to this file", "FILE" },
		{ "set-version", 0, 0, G_OPTION_ARG_INT64, &version,
		  "Version of the document, by default the base's plus 1",
		  "N" },
		{ 0 }
	};
	struct bb_error err = { 0 };
	struct bb_config *c;
	char *text;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 1, &rc))
		return rc;
	if (version < 0) {
		fprintf(stderr, "%s: --set-version must be greater than 0\n",
			g_get_prgname());
		return EXIT_USAGE;
	}
	c = read_successor(argv[1], base, version, &err);
	g_free(base);
	if (!c) {
		g_free(output);
		return fail(&err);
	}
	text = bb_config_to_json(c);
	rc = write_text(output, text, &err);
	if (!rc && output)
		print_counts(c, output);
	free(text);
	g_free(output);
	bb_config_delete(c);
	return rc ? fail(&err) : EXIT_OK;
}

static void print_change(void *context, const struct bb_config_change *c)
{
	(void)context;
	if (!c->row)
		printf("~ %s: %s -> %s\n", c->column, c->before, c->after);
	else if (c->column)
		printf("~ %s \"%s\" %s: %s -> %s\n", c->table, c->row,
		       c->column, c->before, c->after);
	else
		printf("%c %s \"%s\": %s\n", c->before ? '-' : '+', c->table,
		       c->row, c->before ? c->before : c->after);
}

static json_t *json_or_null(const char *text)
{
	json_t *value = text ? json_loads(text, JSON_DECODE_ANY, NULL) : NULL;

	return value ? value : json_null();
}

static void collect_change(void *context, const struct bb_config_change *c)
{
	json_array_append_new(
		context, json_pack("{s:s, s:s?, s:s?, s:o, s:o}", "table",
				   c->table, "row", c->row, "column", c->column,
				   "before", json_or_null(c->before), "after",
				   json_or_null(c->after)));
}

int table_diff(const struct command *command, int argc, char **argv)
{
	char *base = NULL;
	const GOptionEntry entries[] = {
		{ "base", 'b', 0, G_OPTION_ARG_FILENAME, &base,
		  "Document that gives the rest of a table", "DOCUMENT" },
		{ 0 }
	};
	struct bb_config *c[3] = { NULL };
	struct bb_error err = { 0 };
	json_t *changes = json_array();
	size_t nr = 0;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 2, &rc)) {
		json_decref(changes);
		return rc;
	}
	if (base)
		c[0] = read_config(base, NULL, 0, &err);
	for (int i = 1; !err.code && i <= 2; i++)
		c[i] = read_config(argv[i], c[0], c[0] ? c[0]->version : 1,
				   &err);
	if (!err.code)
		nr = bb_config_diff(c[1], c[2],
				    json_output ? collect_change : print_change,
				    changes);
	if (!err.code && json_output)
		print_json(json_pack("{s:O}", "changes", changes));
	json_decref(changes);
	g_free(base);
	for (int i = 0; i < 3; i++)
		bb_config_delete(c[i]);
	if (err.code)
		return fail(&err);
	return nr ? EXIT_DIFFERENT : EXIT_OK;
}

int table_export(const struct command *command, int argc, char **argv)
{
	char *output = NULL;
	const GOptionEntry entries[] = {
		{ "output", 'o', 0, G_OPTION_ARG_FILENAME, &output,
		  "Write the table to this file", "FILE" },
		{ 0 }
	};
	struct bb_error err = { 0 };
	struct bb_config *c;
	char *text;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 1, &rc))
		return rc;
	c = read_config(argv[1], NULL, 0, &err);
	if (!c) {
		g_free(output);
		return fail(&err);
	}
	text = bb_table_from_config(c);
	rc = write_text(output, text, &err);
	g_free(text);
	g_free(output);
	bb_config_delete(c);
	return rc ? fail(&err) : EXIT_OK;
}
