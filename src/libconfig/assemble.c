/* Reads index and list pages and builds a snapshot from the listed pages. */
#include <sodium.h>
#include <string.h>

#include "assemble.h"
#include "config_internal.h"

static int fail_page(const char *name, const char *rule, struct bb_error *err)
{
	char quoted[BB_QUOTE_SIZE];

	return bb_error_set(err, BB_ERROR_INVALID, "page \"%s\": %s",
			    bb_quote(name, quoted, sizeof(quoted)), rule);
}

static bool is_page_name(const char *s)
{
	size_t size = strlen(s);

	return size && size <= BB_PAGE_NAME_MAX &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == size &&
	       strcmp(s, BB_PAGE_INDEX) != 0;
}

static int read_entry(const json_t *item, struct bb_index_entry *e,
		      struct bb_error *err)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *hash = json_string_value(json_object_get(item, "hash"));
	const json_t *version = json_object_get(item, "version");

	if (json_object_size(item) != 3 || !name || !is_page_name(name) ||
	    !hash || json_integer_value(version) < 1)
		return fail_page(BB_PAGE_INDEX, "malformed entry", err);
	if (strlen(hash) != 2UL * BB_PAGE_HASH_SIZE ||
	    sodium_hex2bin(e->hash, sizeof(e->hash), hash, strlen(hash), NULL,
			   NULL, NULL))
		return fail_page(BB_PAGE_INDEX, "malformed hash", err);
	e->name = g_strdup(name);
	e->version = json_integer_value(version);
	return 0;
}

/* Appends the entries of a page; *entries stays valid on failure. */
static int read_entries(const json_t *root, size_t fields,
			struct bb_index_entry **entries, size_t *nr,
			struct bb_error *err)
{
	const json_t *items = json_object_get(root, "pages");
	size_t i;
	json_t *item;

	if (json_object_size(root) != fields || !json_is_array(items))
		return fail_page(BB_PAGE_INDEX,
				 "not an object with a list of pages", err);
	*entries = g_renew(struct bb_index_entry, *entries,
			   *nr + json_array_size(items));
	json_array_foreach (items, i, item) {
		struct bb_index_entry *e = &(*entries)[*nr];

		if (read_entry(item, e, err))
			return -1;
		(*nr)++;
	}
	return 0;
}

static int check_names(const struct bb_index *index, struct bb_error *err)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	int rc = 0;

	for (size_t i = 0; !rc && i < index->lists_nr; i++)
		if (!g_hash_table_add(names, index->lists[i].name))
			rc = fail_page(index->lists[i].name, "listed twice",
				       err);
	for (size_t i = 0; !rc && i < index->entries_nr; i++)
		if (!g_hash_table_add(names, index->entries[i].name))
			rc = fail_page(index->entries[i].name, "listed twice",
				       err);
	g_hash_table_destroy(names);
	return rc;
}

struct bb_index *bb_index_parse(const struct bb_page *page,
				struct bb_error *err)
{
	json_t *root =
		bb_config_load_json(page->content, page->size, "index", err);
	const json_t *bundles;
	struct bb_index *index;

	if (!root)
		return NULL;
	bundles = json_object_get(root, "bundles");
	index = g_new0(struct bb_index, 1);
	index->bundles_nr = json_integer_value(bundles);
	index->version = json_integer_value(json_object_get(root, "version"));
	if (json_integer_value(json_object_get(root, "version")) < 1)
		fail_page(BB_PAGE_INDEX, "version is missing or less than 1",
			  err);
	else if (bundles && (!json_is_integer(bundles) ||
			     json_integer_value(bundles) < 0 ||
			     json_integer_value(bundles) > BB_BUNDLES_MAX))
		fail_page(BB_PAGE_INDEX, "malformed number of bundles", err);
	else if (!read_entries(root, bundles ? 3 : 2, &index->lists,
			       &index->lists_nr, err) &&
		 !check_names(index, err)) {
		json_decref(root);
		return index;
	}
	json_decref(root);
	bb_index_delete(index);
	return NULL;
}

static void delete_entries(struct bb_index_entry *entries, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		g_free(entries[i].name);
	g_free(entries);
}

void bb_index_delete(struct bb_index *index)
{
	if (!index)
		return;
	delete_entries(index->lists, index->lists_nr);
	delete_entries(index->entries, index->entries_nr);
	g_free(index);
}

/* Checks the hash of a page and parses it. */
static json_t *load_page(const struct bb_index_entry *e,
			 const struct bb_page *page, struct bb_error *err)
{
	uint8_t hash[BB_PAGE_HASH_SIZE];

	if (!page) {
		fail_page(e->name, "missing", err);
		return NULL;
	}
	bb_page_hash(page, hash);
	if (memcmp(hash, e->hash, sizeof(hash)) != 0) {
		fail_page(e->name, "hash differs from the index", err);
		if (err)
			err->code = BB_ERROR_SIGNATURE;
		return NULL;
	}
	return bb_config_load_json(page->content, page->size, e->name, err);
}

int bb_index_expand(struct bb_index *index, bb_page_find_fn *find,
		    void *context, struct bb_error *err)
{
	for (size_t i = 0; i < index->lists_nr; i++) {
		const struct bb_index_entry *e = &index->lists[i];
		json_t *root = load_page(e, find(context, e->name), err);
		int rc = -1;

		if (root)
			rc = read_entries(root, 1, &index->entries,
					  &index->entries_nr, err);
		json_decref(root);
		if (rc)
			return -1;
	}
	return check_names(index, err);
}

static int add_settings(struct bb_config_builder *b, json_t *root,
			const struct bb_index *index, struct bb_error *err)
{
	if (json_object_get(root, "version"))
		return fail_page("settings", "must not have a version", err);
	json_object_set_new(root, "version", json_integer(index->version));
	if (bb_config_check_fields(root, false, err))
		return -1;
	return bb_config_builder_read_settings(b, root, err);
}

static int add_table(struct bb_config_builder *b, const char *name,
		     json_t *root, struct bb_error *err)
{
	const char *table = json_string_value(json_object_get(root, "table"));

	if (json_object_size(root) != 2 || !table)
		return fail_page(name, "not an object of table and rows", err);
	for (int t = 0; t < BB_TABLE_COUNT; t++)
		if (!strcmp(table, bb_tables[t].name))
			return bb_config_builder_add(
				b, t, json_object_get(root, "rows"), err);
	return fail_page(name, "unknown table", err);
}

/**
 * struct bb_assembly - a snapshot that is being built.
 * @index: expanded index
 * @builder: the snapshot so far
 * @next: number of the next entry of @index to read
 */
struct bb_assembly {
	const struct bb_index *index;
	struct bb_config_builder *builder;
	size_t next;
};

struct bb_assembly *bb_assembly_new(const struct bb_index *index)
{
	struct bb_assembly *a = g_new0(struct bb_assembly, 1);

	a->index = index;
	a->builder = bb_config_builder_new();
	return a;
}

void bb_assembly_delete(struct bb_assembly *a)
{
	if (!a)
		return;
	bb_config_builder_delete(a->builder);
	g_free(a);
}

static int add_page(struct bb_assembly *a, const struct bb_page *page,
		    struct bb_error *err)
{
	const struct bb_index_entry *e = &a->index->entries[a->next];
	json_t *root = load_page(e, page, err);
	int rc;

	if (!root)
		return -1;
	/* The first entry is the settings page, all others are tables. */
	if (!a->next)
		rc = add_settings(a->builder, root, a->index, err);
	else
		rc = add_table(a->builder, e->name, root, err);
	json_decref(root);
	a->next++;
	return rc;
}

int bb_assembly_step(struct bb_assembly *a, size_t pages, bb_page_find_fn *find,
		     void *context, struct bb_error *err)
{
	for (; pages && a->next < a->index->entries_nr; pages--)
		if (add_page(a, find(context, a->index->entries[a->next].name),
			     err))
			return -1;
	return a->next < a->index->entries_nr;
}

struct bb_config *bb_assembly_finish(struct bb_assembly *a,
				     struct bb_error *err)
{
	struct bb_config_builder *b = a->builder;

	if (!a->index->entries_nr) {
		fail_page(BB_PAGE_INDEX, "lists no page", err);
		bb_assembly_delete(a);
		return NULL;
	}
	g_free(a);
	return bb_config_builder_finish(b, err);
}

struct bb_config *bb_publication_assemble(const struct bb_index *index,
					  bb_page_find_fn *find, void *context,
					  struct bb_error *err)
{
	struct bb_assembly *a = bb_assembly_new(index);

	if (bb_assembly_step(a, SIZE_MAX, find, context, err) < 0) {
		bb_assembly_delete(a);
		return NULL;
	}
	return bb_assembly_finish(a, err);
}
