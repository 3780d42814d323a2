#include "libmember/registry_copy.h"

#include <string.h>

#include "baobabward/clock.h"

/* Longer than a node is behind the others without having to list everything. */
#define REMOVAL_RETENTION_US (60 * BB_US_PER_S)

/**
 * struct entry - an item of the copy.
 * @key: its key; owned
 * @value: its value, NULL if @removed; owned
 * @size: number of bytes of @value
 * @revision: revision of its last change
 * @removed: it was removed
 * @listed: part of the list that is being read
 * @noted_us: time at which this revision was noted
 */
struct entry {
	char *key;
	char *value;
	size_t size;
	uint64_t revision;
	bool removed;
	bool listed;
	int64_t noted_us;
};

/**
 * struct bb_registry_copy - see the header.
 * @by_revision: entries in ascending order of revisions; owns them
 * @by_key: iterators of @by_revision
 * @complete_from: all removals after this revision are known
 * @complete: a list was read since the copy was created or cleared
 */
struct bb_registry_copy {
	GSequence *by_revision;
	GHashTable *by_key;
	uint64_t complete_from;
	bool complete;
};

static void free_entry(gpointer data)
{
	struct entry *e = data;

	g_free(e->key);
	g_free(e->value);
	g_free(e);
}

static gint compare_revisions(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct entry *x = a, *y = b;

	(void)data;
	return (x->revision > y->revision) - (x->revision < y->revision);
}

struct bb_registry_copy *bb_registry_copy_new(void)
{
	struct bb_registry_copy *c = g_new0(struct bb_registry_copy, 1);

	c->by_revision = g_sequence_new(free_entry);
	c->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

void bb_registry_copy_delete(struct bb_registry_copy *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->by_key);
	g_sequence_free(c->by_revision);
	g_free(c);
}

void bb_registry_copy_clear(struct bb_registry_copy *c)
{
	g_hash_table_remove_all(c->by_key);
	g_sequence_remove_range(g_sequence_get_begin_iter(c->by_revision),
				g_sequence_get_end_iter(c->by_revision));
	c->complete = false;
	c->complete_from = 0;
}

static void set_entry(struct entry *e, const struct bb_registry_item *item,
		      int64_t now_us)
{
	char *value = item->removed ?
			      NULL :
			      g_memdup2(item->value.data, item->value.size);

	g_free(e->value);
	e->value = value;
	e->size = value ? item->value.size : 0;
	e->revision = item->revision;
	e->removed = item->removed;
	e->listed = true;
	e->noted_us = now_us;
}

void bb_registry_copy_put(struct bb_registry_copy *c,
			  const struct bb_registry_item *item, int64_t now_us)
{
	char *key = g_strndup(item->key.data, item->key.size);
	GSequenceIter *at = g_hash_table_lookup(c->by_key, key);
	struct entry *e;

	if (!at) {
		e = g_new0(struct entry, 1);
		e->key = key;
		set_entry(e, item, now_us);
		at = g_sequence_insert_sorted(c->by_revision, e,
					      compare_revisions, NULL);
		g_hash_table_insert(c->by_key, e->key, at);
		return;
	}
	g_free(key);
	e = g_sequence_get(at);
	if (item->revision < e->revision)
		return;
	if (item->revision == e->revision && item->removed == e->removed) {
		e->listed = true;
		return;
	}
	set_entry(e, item, now_us);
	g_sequence_sort_changed(at, compare_revisions, NULL);
}

void bb_registry_copy_begin_list(struct bb_registry_copy *c)
{
	GSequenceIter *at = g_sequence_get_begin_iter(c->by_revision);

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		((struct entry *)g_sequence_get(at))->listed = false;
}

void bb_registry_copy_end_list(struct bb_registry_copy *c, uint64_t revision,
			       int64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(c->by_revision);
	GPtrArray *missing = g_ptr_array_new();

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		const struct entry *e = g_sequence_get(at);

		if (!e->listed && !e->removed)
			g_ptr_array_add(missing, at);
	}
	for (guint i = 0; i < missing->len; i++) {
		struct entry *e = g_sequence_get(missing->pdata[i]);
		struct bb_registry_item item = {
			.revision = MAX(revision, e->revision),
			.removed = true,
		};

		set_entry(e, &item, now_us);
		g_sequence_sort_changed(missing->pdata[i], compare_revisions,
					NULL);
	}
	g_ptr_array_free(missing, TRUE);
	if (!c->complete)
		c->complete_from = revision;
	c->complete = true;
}

void bb_registry_copy_expire(struct bb_registry_copy *c, int64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(c->by_revision);

	while (!g_sequence_iter_is_end(at)) {
		const struct entry *e = g_sequence_get(at);
		GSequenceIter *next = g_sequence_iter_next(at);

		if (e->removed && now_us - e->noted_us > REMOVAL_RETENTION_US) {
			c->complete_from = MAX(c->complete_from, e->revision);
			g_hash_table_remove(c->by_key, e->key);
			g_sequence_remove(at);
		}
		at = next;
	}
}

bool bb_registry_copy_since(const struct bb_registry_copy *c, uint64_t after,
			    struct bb_registry_item *items, size_t max,
			    size_t max_bytes, size_t *nr)
{
	GSequenceIter *at = g_sequence_get_end_iter(c->by_revision);
	size_t bytes = 0;

	*nr = 0;
	if (!c->complete || after < c->complete_from)
		return false;
	while (!g_sequence_iter_is_begin(at)) {
		const struct entry *e;

		at = g_sequence_iter_prev(at);
		e = g_sequence_get(at);
		if (e->revision <= after)
			break;
		bytes += strlen(e->key) + e->size;
		if (*nr == max || bytes > max_bytes)
			return false;
		items[(*nr)++] = (struct bb_registry_item){
			.key = { e->key, strlen(e->key) },
			.value = { e->value, e->size },
			.revision = e->revision,
			.removed = e->removed,
		};
	}
	return true;
}
