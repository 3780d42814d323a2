/* Splits a configuration into signed pages. */
#include "baobabward/publish.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "bundle.h"
#include "config_internal.h"

/*
 * A page ends after a row whose name has a hash with the bits of PAGE_END_MASK
 * zero, so that page boundaries do not move when other rows are added, removed
 * or changed. Minimum and mean size are a compromise between the size of a page
 * and that of the index; see docs/decisions/configuration-pages.md.
 */
#define PAGE_ROWS_MIN 64
#define PAGE_ROWS_MAX 512
#define PAGE_END_MASK 63
/*
 * A page also ends after the row with which it reaches this size, since rows
 * may have many keys.
 */
#define PAGE_BYTES_SOFT_MAX 400000

/*
 * A list page ends in the same way, after an entry whose page name has a hash
 * with the bits of LIST_END_MASK zero.
 */
#define LIST_PAGES_MIN 8
#define LIST_PAGES_MAX 64
#define LIST_END_MASK 15

/*
 * Prefix of the signed text, so that a signature made for another purpose with
 * the same key is not valid for a page.
 */
static const char signature_domain[] = "baobabward page 1";

static void hash_message(const struct bb_page *page,
			 uint8_t hash[BB_PAGE_HASH_SIZE])
{
	crypto_generichash_state state;

	/*
	 * Each part but the last ends with a NUL. Names have none, so the parts
	 * cannot be confused.
	 */
	crypto_generichash_init(&state, NULL, 0, BB_PAGE_HASH_SIZE);
	crypto_generichash_update(&state,
				  (const unsigned char *)signature_domain,
				  sizeof(signature_domain));
	crypto_generichash_update(&state, (const unsigned char *)page->name,
				  strlen(page->name) + 1);
	crypto_generichash_update(&state, (const unsigned char *)page->content,
				  page->size);
	crypto_generichash_final(&state, hash, BB_PAGE_HASH_SIZE);
}

void bb_page_sign(struct bb_page *page, const uint8_t *secret)
{
	uint8_t hash[BB_PAGE_HASH_SIZE];

	hash_message(page, hash);
	crypto_sign_detached(page->signature, NULL, hash, sizeof(hash), secret);
}

int bb_page_verify(const struct bb_page *page,
		   const uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE],
		   struct bb_error *err)
{
	uint8_t hash[BB_PAGE_HASH_SIZE];
	char quoted[BB_QUOTE_SIZE];

	hash_message(page, hash);
	if (!crypto_sign_verify_detached(page->signature, hash, sizeof(hash),
					 public_key))
		return 0;
	return bb_error_set(err, BB_ERROR_SIGNATURE,
			    "page \"%s\": signature does not match",
			    bb_quote(page->name, quoted, sizeof(quoted)));
}

int bb_signing_key_generate(uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE],
			    uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE],
			    struct bb_error *err)
{
	if (sodium_init() < 0 || crypto_sign_keypair(public_key, secret))
		return bb_error_set(err, BB_ERROR_STATE,
				    "libsodium failed to make a key pair");
	return 0;
}

void bb_page_hash(const struct bb_page *page, uint8_t hash[BB_PAGE_HASH_SIZE])
{
	crypto_generichash(hash, BB_PAGE_HASH_SIZE,
			   (const unsigned char *)page->content, page->size,
			   NULL, 0);
}

/**
 * struct builder - a publication that is being built.
 * @config: configuration to publish
 * @previous_entries: entries of the publication before, by page name
 * @secret: secret signing key
 * @row_pages: the settings page, then the pages of rows
 * @list_pages: the index page, then the list pages
 * @bundles: bundles of both
 */
struct builder {
	const struct bb_config *config;
	GHashTable *previous_entries;
	const uint8_t *secret;
	GArray *row_pages;
	GArray *list_pages;
	GArray *bundles;
};

static void free_page_members(struct bb_page *page)
{
	g_free(page->name);
	g_free(page->content);
}

/* Version in which a page last changed: the previous one if it is the same. */
static uint64_t entry_version(const struct builder *b, const char *name,
			      const uint8_t *hash)
{
	const struct bb_index_entry *e =
		g_hash_table_lookup(b->previous_entries, name);

	if (e && !memcmp(e->hash, hash, BB_PAGE_HASH_SIZE))
		return e->version;
	return b->config->version;
}

static int check_page_size(const struct bb_page *page, struct bb_error *err)
{
	if (page->size + 2UL * BB_PAGE_SIGNATURE_SIZE + 1 <= BB_PAGE_SIZE_MAX)
		return 0;
	return bb_error_set(err, BB_ERROR_FULL,
			    "page \"%s\": %zu bytes are more than %d",
			    page->name, page->size, BB_PAGE_SIZE_MAX);
}

/* Signs a page and adds it to @pages; takes ownership of name and content. */
static int add_page(struct builder *b, GArray *pages, char *name,
		    GString *content, struct bb_error *err)
{
	struct bb_page page = { .size = content->len };

	page.name = name;
	page.content = g_string_free(content, FALSE);
	bb_page_sign(&page, b->secret);
	g_array_append_val(pages, page);
	return check_page_size(&page, err);
}

/*
 * A page is named after its first row or entry, so that it keeps its name when
 * other pages change.
 */
static char *page_name(const char *kind, const char *first)
{
	return g_strdup_printf("%s-%016" G_GINT64_MODIFIER "x", kind,
			       (guint64)XXH3_64bits(first, strlen(first)));
}

static int add_settings(struct builder *b, struct bb_error *err)
{
	GString *content = g_string_new("{");

	bb_config_write_settings(content, b->config);
	g_string_append(content, "}\n");
	return add_page(b, b->row_pages, g_strdup("settings"), content, err);
}

/* Makes a page of the rows from *row on; sets *row to the row after it. */
static int add_rows(struct builder *b, enum bb_table table, size_t *row,
		    struct bb_error *err)
{
	const struct bb_config *c = b->config;
	size_t nr = bb_config_rows_nr(c, table);
	size_t first = *row;
	const char *name;
	GString *content = g_string_new(NULL);
	uint64_t hash;

	g_string_append_printf(content, "{\"table\":\"%s\",\"rows\":[",
			       bb_tables[table].name);
	do {
		g_string_append(content, *row > first ? ",\n" : "\n");
		bb_config_write_row(content, c, table,
				    bb_config_row(c, table, *row));
		name = bb_config_row_name(c, table, *row);
		hash = XXH3_64bits(name, strlen(name));
		(*row)++;
	} while (*row < nr && *row - first < PAGE_ROWS_MAX &&
		 content->len < PAGE_BYTES_SOFT_MAX &&
		 (*row - first < PAGE_ROWS_MIN || (hash & PAGE_END_MASK)));
	g_string_append(content, "]}\n");
	return add_page(b, b->row_pages,
			page_name(bb_tables[table].name,
				  bb_config_row_name(c, table, first)),
			content, err);
}

static void write_entry(const struct builder *b, GString *out,
			const struct bb_page *page)
{
	uint8_t hash[BB_PAGE_HASH_SIZE];
	char hex[BB_PAGE_HASH_SIZE * 2 + 1];

	bb_page_hash(page, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	g_string_append_printf(
		out,
		"\n{\"name\":\"%s\",\"version\":%" G_GUINT64_FORMAT
		",\"hash\":\"%s\"}",
		page->name, (guint64)entry_version(b, page->name, hash), hex);
}

/* Makes a list page of the pages from *i on; sets *i to the page after it. */
static int add_list(struct builder *b, size_t *i, struct bb_error *err)
{
	const struct bb_page *pages = (const void *)b->row_pages->data;
	GString *content = g_string_new("{\"pages\":[");
	size_t first = *i;
	uint64_t hash;

	do {
		if (*i > first)
			g_string_append_c(content, ',');
		write_entry(b, content, &pages[*i]);
		hash = XXH3_64bits(pages[*i].name, strlen(pages[*i].name));
		(*i)++;
	} while (*i < b->row_pages->len && *i - first < LIST_PAGES_MAX &&
		 (*i - first < LIST_PAGES_MIN || (hash & LIST_END_MASK)));
	g_string_append(content, "]}\n");
	return add_page(b, b->list_pages, page_name("list", pages[first].name),
			content, err);
}

/* The list pages come first: from them a node knows which pages it lacks. */
static void add_bundles(struct builder *b)
{
	struct bb_bundler *bundler = bb_bundler_new(b->secret, b->bundles);

	for (guint i = 1; i < b->list_pages->len; i++)
		bb_bundler_add(bundler, &g_array_index(b->list_pages,
						       struct bb_page, i));
	for (guint i = 0; i < b->row_pages->len; i++)
		bb_bundler_add(bundler,
			       &g_array_index(b->row_pages, struct bb_page, i));
	bb_bundler_finish(bundler);
}

/* Makes all pages; the index page is the first of the list pages. */
static int add_pages(struct builder *b, struct bb_error *err)
{
	struct bb_page index = { 0 };
	GString *content = g_string_new(NULL);

	g_string_append_printf(content,
			       "{\"version\":%" G_GUINT64_FORMAT ",\"pages\":[",
			       (guint64)b->config->version);
	g_array_append_val(b->list_pages, index);
	if (add_settings(b, err))
		goto fail;
	for (int t = 0; t < BB_TABLE_COUNT; t++)
		for (size_t i = 0; i < bb_config_rows_nr(b->config, t);)
			if (add_rows(b, t, &i, err))
				goto fail;
	for (size_t i = 0; i < b->row_pages->len;)
		if (add_list(b, &i, err))
			goto fail;
	for (guint i = 1; i < b->list_pages->len; i++) {
		if (i > 1)
			g_string_append_c(content, ',');
		write_entry(b, content,
			    &g_array_index(b->list_pages, struct bb_page, i));
	}
	add_bundles(b);
	g_string_append_printf(content, "],\"bundles\":%u}\n", b->bundles->len);
	index.name = g_strdup(BB_PAGE_INDEX);
	index.size = content->len;
	index.content = g_string_free(content, FALSE);
	bb_page_sign(&index, b->secret);
	g_array_index(b->list_pages, struct bb_page, 0) = index;
	return check_page_size(&index, err);
fail:
	g_string_free(content, TRUE);
	return -1;
}

static void add_previous_entries(struct builder *b,
				 struct bb_index_entry *entries, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		g_hash_table_insert(b->previous_entries, entries[i].name,
				    &entries[i]);
}

struct bb_publication *
bb_publication_build(const struct bb_config *c, const struct bb_index *previous,
		     const uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE],
		     struct bb_error *err)
{
	struct builder b = { .config = c, .secret = secret };
	struct bb_publication *p = g_new0(struct bb_publication, 1);
	int rc;

	b.row_pages = g_array_new(FALSE, TRUE, sizeof(struct bb_page));
	b.list_pages = g_array_new(FALSE, TRUE, sizeof(struct bb_page));
	b.bundles = g_array_new(FALSE, TRUE, sizeof(struct bb_page));
	b.previous_entries = g_hash_table_new(g_str_hash, g_str_equal);
	if (previous) {
		add_previous_entries(&b, previous->lists, previous->lists_nr);
		add_previous_entries(&b, previous->entries,
				     previous->entries_nr);
	}
	rc = add_pages(&b, err);
	g_hash_table_destroy(b.previous_entries);
	g_array_append_vals(b.list_pages, b.row_pages->data, b.row_pages->len);
	g_array_free(b.row_pages, TRUE);
	p->pages_nr = b.list_pages->len;
	p->pages = (void *)g_array_free(b.list_pages, FALSE);
	p->bundles_nr = b.bundles->len;
	p->bundles = (void *)g_array_free(b.bundles, FALSE);
	if (!rc)
		return p;
	bb_publication_delete(p);
	return NULL;
}

void bb_publication_delete(struct bb_publication *p)
{
	if (!p)
		return;
	for (size_t i = 0; i < p->pages_nr; i++)
		free_page_members(&p->pages[i]);
	for (size_t i = 0; i < p->bundles_nr; i++)
		free_page_members(&p->bundles[i]);
	g_free(p->pages);
	g_free(p->bundles);
	g_free(p);
}

struct bb_page *bb_page_new(const char *name, const char *content, size_t size,
			    const uint8_t signature[BB_PAGE_SIGNATURE_SIZE])
{
	struct bb_page *page = g_new0(struct bb_page, 1);

	page->name = g_strdup(name);
	page->content = g_malloc(size + 1);
	memcpy(page->content, content, size);
	page->content[size] = '\0';
	page->size = size;
	memcpy(page->signature, signature, BB_PAGE_SIGNATURE_SIZE);
	return page;
}

void bb_page_delete(struct bb_page *page)
{
	if (!page)
		return;
	free_page_members(page);
	g_free(page);
}

char *bb_page_encode(const struct bb_page *page, size_t *size)
{
	const size_t digits = 2UL * BB_PAGE_SIGNATURE_SIZE;
	char *data = g_malloc(digits + 1 + page->size);

	sodium_bin2hex(data, digits + 1, page->signature,
		       sizeof(page->signature));
	data[digits] = '\n';
	memcpy(data + digits + 1, page->content, page->size);
	*size = digits + 1 + page->size;
	return data;
}

struct bb_page *bb_page_decode(const char *name, const char *data, size_t size,
			       struct bb_error *err)
{
	const size_t digits = 2UL * BB_PAGE_SIGNATURE_SIZE;
	uint8_t signature[BB_PAGE_SIGNATURE_SIZE];

	if (size <= digits || size > BB_PAGE_SIZE_MAX || data[digits] != '\n' ||
	    sodium_hex2bin(signature, sizeof(signature), data, digits, NULL,
			   NULL, NULL)) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "page of %zu bytes does not begin with a "
			     "signature or is too large",
			     size);
		return NULL;
	}
	return bb_page_new(name, data + digits + 1, size - digits - 1,
			   signature);
}
