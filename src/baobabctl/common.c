/* Options, files and output of the subcommands. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "baobabward/table.h"
#include "command.h"

gboolean json_output;

bool parse_options(const struct command *command, const GOptionEntry *entries,
		   int *argc, char ***argv, int positional, int *rc)
{
	const GOptionEntry common[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json_output,
		  "Print results and errors as JSON", NULL },
		{ 0 }
	};
	GOptionContext *context = g_option_context_new(command->arguments);
	char *name = g_strjoin(" ", "baobabctl", command->group, command->name,
			       NULL);
	GError *error = NULL;
	bool ok;

	g_set_prgname(name);
	g_option_context_set_summary(context, command->summary);
	g_option_context_add_main_entries(context, common, NULL);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	*rc = EXIT_USAGE;
	if (!ok) {
		fprintf(stderr, "%s: %s\n", name, error->message);
		g_error_free(error);
	} else if (*argc != positional + 1) {
		fprintf(stderr, "%s: %d arguments are needed (%s)\n", name,
			positional, command->arguments);
		ok = false;
	}
	g_option_context_free(context);
	g_free(name);
	return ok;
}

void print_json(json_t *object)
{
	char *text = json_dumps(object, JSON_INDENT(2));

	printf("%s\n", text);
	free(text);
	json_decref(object);
}

int fail(const struct bb_error *err)
{
	if (json_output)
		print_json(json_pack("{s:s, s:s}", "error", err->message,
				     "code", bb_error_code_string[err->code]));
	else
		fprintf(stderr, "%s: %s\n", g_get_prgname(), err->message);
	return err->code == BB_ERROR_IO || err->code == BB_ERROR_NOT_FOUND ?
		       EXIT_IO :
		       EXIT_INVALID;
}

int read_file(const char *path, char **data, size_t *size, struct bb_error *err)
{
	GError *error = NULL;
	gsize length;

	if (!g_file_get_contents(path, data, &length, &error)) {
		bb_error_set(err, BB_ERROR_IO, "%s", error->message);
		g_error_free(error);
		return -1;
	}
	*size = length;
	return 0;
}

static struct bb_config *read_table(const char *path, const char *data,
				    size_t size, const struct bb_config *base,
				    uint64_t version, struct bb_error *err)
{
	struct bb_table_sheet *t;
	struct bb_config *c;

	if (!base) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "%s: a table needs a base document (--base)",
			     path);
		return NULL;
	}
	t = bb_table_sheet_parse(data, size, path, err);
	if (!t)
		return NULL;
	c = bb_table_sheet_apply(t, base, version, err);
	bb_table_sheet_delete(t);
	return c;
}

struct bb_config *read_config(const char *path, const struct bb_config *base,
			      uint64_t version, struct bb_error *err)
{
	struct bb_config *c;
	char *data;
	size_t size;

	if (read_file(path, &data, &size, err))
		return NULL;
	if (g_str_has_suffix(path, ".csv"))
		c = read_table(path, data, size, base, version, err);
	else
		c = bb_config_parse(data, size, err);
	g_free(data);
	return c;
}

/* Reads the pages of a directory on demand, one at a time. */
struct page_reader {
	const char *directory;
	const uint8_t *public_key;
	struct bb_page *page;
	struct bb_error err;
};

static const struct bb_page *find_page(void *context, const char *name)
{
	struct page_reader *r = context;

	/* The caller has parsed the previous page by now. */
	bb_page_delete(r->page);
	r->page = bb_page_read(r->directory, name, &r->err);
	if (r->page && bb_page_verify(r->page, r->public_key, &r->err)) {
		bb_page_delete(r->page);
		r->page = NULL;
	}
	return r->page;
}

struct bb_config *read_publication(const char *directory,
				   const uint8_t *public_key,
				   struct bb_index **index,
				   struct bb_error *err)
{
	struct page_reader r = { .directory = directory,
				 .public_key = public_key };
	const struct bb_page *page = find_page(&r, BB_PAGE_INDEX);
	struct bb_config *c = NULL;
	struct bb_index *i;

	if (!page) {
		*err = r.err;
		return NULL;
	}
	i = bb_index_parse(page, err);
	if (i && !bb_index_expand(i, find_page, &r, err))
		c = bb_publication_assemble(i, find_page, &r, err);
	/* The reason why a page could not be read says more than the error
	 * that its absence caused. */
	if (i && !c && r.err.code)
		*err = r.err;
	bb_page_delete(r.page);
	if (c && index)
		*index = i;
	else
		bb_index_delete(i);
	return c;
}

int write_text(const char *path, const char *text, struct bb_error *err)
{
	GError *error = NULL;

	if (!path) {
		if (fputs(text, stdout) == EOF || fflush(stdout))
			return bb_error_set(err, BB_ERROR_IO,
					    "cannot write: %s",
					    g_strerror(errno));
		return 0;
	}
	if (g_file_set_contents(path, text, -1, &error))
		return 0;
	bb_error_set(err, BB_ERROR_IO, "%s", error->message);
	g_error_free(error);
	return -1;
}
