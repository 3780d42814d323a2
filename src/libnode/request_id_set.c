#include "libnode/request_id_set.h"

#include <glib.h>
#include <xxhash.h>

/* One id of the set. */
struct id_entry {
	struct bb_request_id id;
	/* Monotonic time after which the id may be removed. */
	int64_t until_us;
};

struct bb_request_id_set {
	/* Set of struct id_entry, hashed by id. */
	GHashTable *entries;
};

guint bb_request_id_hash(gconstpointer key)
{
	const struct bb_request_id *id = key;

	return (guint)XXH3_64bits(id, sizeof(*id));
}

gboolean bb_request_id_equal(gconstpointer a, gconstpointer b)
{
	const struct bb_request_id *x = a;
	const struct bb_request_id *y = b;

	return x->incarnation == y->incarnation && x->sequence == y->sequence;
}

struct bb_request_id_set *bb_request_id_set_new(void)
{
	struct bb_request_id_set *s = g_new0(struct bb_request_id_set, 1);

	/* The id is the first member, so an entry serves as its own key. */
	s->entries = g_hash_table_new_full(bb_request_id_hash,
					   bb_request_id_equal, g_free, NULL);
	return s;
}

bool bb_request_id_set_add(struct bb_request_id_set *s,
			   const struct bb_request_id *id, int64_t until_us)
{
	struct id_entry *e;

	if (bb_request_id_set_contains(s, id))
		return false;
	e = g_new(struct id_entry, 1);
	e->id = *id;
	e->until_us = until_us;
	g_hash_table_add(s->entries, e);
	return true;
}

bool bb_request_id_set_contains(const struct bb_request_id_set *s,
				const struct bb_request_id *id)
{
	return g_hash_table_contains(s->entries, id);
}

static gboolean has_expired(gpointer key, gpointer value, gpointer data)
{
	const struct id_entry *e = key;
	const int64_t *now_us = data;

	(void)value;
	return e->until_us < *now_us;
}

void bb_request_id_set_expire(struct bb_request_id_set *s, int64_t now_us)
{
	g_hash_table_foreach_remove(s->entries, has_expired, &now_us);
}

size_t bb_request_id_set_size(const struct bb_request_id_set *s)
{
	return g_hash_table_size(s->entries);
}

void bb_request_id_set_delete(struct bb_request_id_set *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->entries);
	g_free(s);
}
