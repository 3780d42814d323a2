/*
 * Reads and writes pages as files of a directory, for baobabctl and the
 * stand-in of the configuration service.
 */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "baobabward/publish.h"

struct bb_page *bb_page_read(const char *directory, const char *name,
			     struct bb_error *err)
{
	char *path = g_build_filename(directory, name, NULL);
	GError *error = NULL;
	struct bb_page *page = NULL;
	char *data;
	gsize size;

	if (g_file_get_contents(path, &data, &size, &error)) {
		page = bb_page_decode(name, data, size, err);
		g_free(data);
	} else {
		bb_error_set(err,
			     g_error_matches(error, G_FILE_ERROR,
					     G_FILE_ERROR_NOENT) ?
				     BB_ERROR_NOT_FOUND :
				     BB_ERROR_IO,
			     "%s", error->message);
		g_error_free(error);
	}
	g_free(path);
	return page;
}

static int write_page(const struct bb_page *page, const char *directory,
		      struct bb_error *err)
{
	char *path = g_build_filename(directory, page->name, NULL);
	GError *error = NULL;
	size_t size;
	char *data = bb_page_encode(page, &size);
	int rc = 0;

	/* Atomic: GLib writes a temporary file and renames it. */
	if (!g_file_set_contents(path, data, size, &error)) {
		rc = bb_error_set(err, BB_ERROR_IO, "%s", error->message);
		g_error_free(error);
	}
	g_free(data);
	g_free(path);
	return rc;
}

int bb_publication_write(const struct bb_publication *p, const char *directory,
			 struct bb_error *err)
{
	for (size_t i = 0; i < p->bundles_nr; i++)
		if (write_page(&p->bundles[i], directory, err))
			return -1;
	for (size_t i = p->pages_nr; i-- > 0;)
		if (write_page(&p->pages[i], directory, err))
			return -1;
	return 0;
}

static int remove_file(const char *directory, const char *name,
		       struct bb_error *err)
{
	char *path = g_build_filename(directory, name, NULL);
	int rc = 0;

	if (g_unlink(path) && errno != ENOENT)
		rc = bb_error_set(err, BB_ERROR_IO, "cannot remove %s: %s",
				  path, g_strerror(errno));
	g_free(path);
	return rc;
}

static int remove_unlisted(const struct bb_index_entry *entries, size_t nr,
			   GHashTable *names, const char *directory,
			   struct bb_error *err)
{
	int rc = 0;

	for (size_t i = 0; !rc && i < nr; i++)
		if (!g_hash_table_contains(names, entries[i].name))
			rc = remove_file(directory, entries[i].name, err);
	return rc;
}

static int remove_bundles(size_t first, size_t end, const char *directory,
			  struct bb_error *err)
{
	int rc = 0;

	for (size_t i = first; !rc && i < end; i++) {
		char name[BB_PAGE_NAME_MAX + 1];

		g_snprintf(name, sizeof(name), BB_BUNDLE_PREFIX "%zu", i);
		rc = remove_file(directory, name, err);
	}
	return rc;
}

int bb_publication_prune(const struct bb_publication *p,
			 const struct bb_index *previous, const char *directory,
			 struct bb_error *err)
{
	GHashTable *names;
	int rc;

	if (!previous)
		return 0;
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < p->pages_nr; i++)
		g_hash_table_add(names, p->pages[i].name);
	rc = remove_unlisted(previous->lists, previous->lists_nr, names,
			     directory, err);
	if (!rc)
		rc = remove_unlisted(previous->entries, previous->entries_nr,
				     names, directory, err);
	if (!rc)
		rc = remove_bundles(p->bundles_nr, previous->bundles_nr,
				    directory, err);
	g_hash_table_destroy(names);
	return rc;
}
