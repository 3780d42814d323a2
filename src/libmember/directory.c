/*
 * Directory of discovered backend servers.
 *
 * A missing entry gets a time at which it is dropped: the present time or,
 * after an outage of the registry, the time by which its backend server must
 * have registered again. bb_directory_tick() drops what is due, and drops
 * nothing while the registry is down.
 */
#include "baobabward/directory.h"

#include <glib.h>
#include <string.h>

#include "baobabward/clock.h"

/*
 * A running backend server registers again within 2 s after the registry is
 * reachable again.
 */
#define DEFAULT_REREGISTRATION_US (2200 * BB_US_PER_MS)
/* Longer than a host has no entry while its backend server restarts. */
#define DEFAULT_HOST_RETENTION_US (60 * BB_US_PER_S)

/**
 * struct item - a known entry.
 * @entry: the entry; its strings are owned
 * @listed: part of the list that is being read
 * @drop_us: time at which the missing entry is dropped, INT64_MAX if present
 */
struct item {
	struct bb_directory_entry entry;
	bool listed;
	int64_t drop_us;
};

/**
 * struct host - a host that has, or recently had, an entry.
 * @last_entry_us: last time at which it had an entry
 */
struct host {
	char *address;
	char *zone;
	int64_t last_entry_us;
};

/**
 * struct bb_directory - see directory.h.
 * @items: struct item by id
 * @hosts: struct host by address
 * @registry_up_us: when the registry was last reachable again
 * @registry_down: the registry does not answer
 * @changed: entries or hosts changed since the last tick
 */
struct bb_directory {
	struct bb_directory_options o;
	char *self_address;
	char *self_zone;
	GTree *items;
	GTree *hosts;
	int64_t registry_up_us;
	bool registry_down;
	bool changed;
};

static void item_delete(gpointer data)
{
	struct item *i = data;

	g_free(i->entry.id);
	g_free(i->entry.service);
	g_free(i->entry.zone);
	g_free(i->entry.address);
	g_free(i);
}

static void host_delete(gpointer data)
{
	struct host *h = data;

	g_free(h->address);
	g_free(h->zone);
	g_free(h);
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct bb_directory *bb_directory_new(const struct bb_directory_options *o)
{
	struct bb_directory *d = g_new0(struct bb_directory, 1);

	d->o = *o;
	if (!d->o.reregistration_us)
		d->o.reregistration_us = DEFAULT_REREGISTRATION_US;
	if (!d->o.host_retention_us)
		d->o.host_retention_us = DEFAULT_HOST_RETENTION_US;
	d->self_address = g_strdup(o->self_address);
	d->self_zone = g_strdup(o->self_zone);
	d->items = g_tree_new_full(compare_names, NULL, NULL, item_delete);
	d->hosts = g_tree_new_full(compare_names, NULL, NULL, host_delete);
	d->registry_up_us = INT64_MIN / 2;
	d->changed = true;
	return d;
}

void bb_directory_delete(struct bb_directory *d)
{
	if (!d)
		return;
	g_tree_destroy(d->items);
	g_tree_destroy(d->hosts);
	g_free(d->self_address);
	g_free(d->self_zone);
	g_free(d);
}

/*
 * Records that a host has an entry. The zone of the last entry applies, since
 * an address may be reassigned.
 */
static void update_host(struct bb_directory *d,
			const struct bb_directory_entry *e, int64_t now_us)
{
	struct host *h = g_tree_lookup(d->hosts, e->address);

	if (!h) {
		h = g_new0(struct host, 1);
		h->address = g_strdup(e->address);
		g_tree_insert(d->hosts, h->address, h);
		d->changed = true;
	}
	if (g_strcmp0(h->zone, e->zone) != 0) {
		g_free(h->zone);
		h->zone = g_strdup(e->zone);
		d->changed = true;
	}
	h->last_entry_us = now_us;
}

static bool same_entry(const struct bb_directory_entry *a,
		       const struct bb_directory_entry *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->address, b->address) && a->slots == b->slots &&
	       a->leaving == b->leaving && a->started_ms == b->started_ms;
}

void bb_directory_put(struct bb_directory *d,
		      const struct bb_directory_entry *e, int64_t now_us)
{
	struct item *i = g_tree_lookup(d->items, e->id);

	if (i && i->entry.started_ms > e->started_ms) {
		i->listed = true;
		return;
	}
	update_host(d, e, now_us);
	if (i && same_entry(&i->entry, e)) {
		i->listed = true;
		i->drop_us = INT64_MAX;
		return;
	}
	i = g_new0(struct item, 1);
	i->entry = *e;
	i->entry.id = g_strdup(e->id);
	i->entry.service = g_strdup(e->service);
	i->entry.zone = g_strdup(e->zone);
	i->entry.address = g_strdup(e->address);
	i->listed = true;
	i->drop_us = INT64_MAX;
	g_tree_replace(d->items, i->entry.id, i);
	d->changed = true;
}

/*
 * When an entry that is missing now is dropped. Entries may expire while the
 * registry is down; their backend servers register again soon after.
 */
static int64_t drop_time(const struct bb_directory *d, int64_t now_us)
{
	return MAX(now_us, d->registry_up_us + d->o.reregistration_us);
}

void bb_directory_remove(struct bb_directory *d, const char *id, int64_t now_us)
{
	struct item *i = g_tree_lookup(d->items, id);

	if (i)
		i->drop_us = MIN(i->drop_us, drop_time(d, now_us));
}

static gboolean clear_listed(gpointer key, gpointer value, gpointer data)
{
	struct item *i = value;

	(void)key;
	(void)data;
	i->listed = false;
	return FALSE;
}

void bb_directory_begin_list(struct bb_directory *d)
{
	g_tree_foreach(d->items, clear_listed, NULL);
}

static gboolean schedule_drop_unlisted(gpointer key, gpointer value,
				       gpointer data)
{
	const int64_t *drop_us = data;
	struct item *i = value;

	(void)key;
	if (!i->listed)
		i->drop_us = MIN(i->drop_us, *drop_us);
	return FALSE;
}

void bb_directory_end_list(struct bb_directory *d, int64_t now_us)
{
	int64_t drop_us = drop_time(d, now_us);

	g_tree_foreach(d->items, schedule_drop_unlisted, &drop_us);
}

void bb_directory_registry_down(struct bb_directory *d)
{
	d->registry_down = true;
}

void bb_directory_registry_up(struct bb_directory *d, int64_t now_us)
{
	if (d->registry_down)
		d->registry_up_us = now_us;
	d->registry_down = false;
}

/**
 * struct sweep - removal of the items or hosts that are due.
 * @due_keys: their keys
 */
struct sweep {
	struct bb_directory *directory;
	int64_t now_us;
	GPtrArray *due_keys;
};

static gboolean collect_due_item(gpointer key, gpointer value, gpointer data)
{
	struct sweep *s = data;
	struct item *i = value;
	struct host *h;

	if (s->now_us >= i->drop_us) {
		g_ptr_array_add(s->due_keys, key);
		return FALSE;
	}
	h = g_tree_lookup(s->directory->hosts, i->entry.address);
	if (h)
		h->last_entry_us = s->now_us;
	return FALSE;
}

static gboolean collect_due_host(gpointer key, gpointer value, gpointer data)
{
	struct sweep *s = data;
	const struct host *h = value;

	if (s->now_us - h->last_entry_us >= s->directory->o.host_retention_us)
		g_ptr_array_add(s->due_keys, key);
	return FALSE;
}

static void remove_due(struct sweep *s, GTree *tree, GTraverseFunc collect)
{
	s->due_keys = g_ptr_array_new();
	g_tree_foreach(tree, collect, s);
	for (guint i = 0; i < s->due_keys->len; i++)
		g_tree_remove(tree, s->due_keys->pdata[i]);
	if (s->due_keys->len)
		s->directory->changed = true;
	g_ptr_array_free(s->due_keys, TRUE);
}

bool bb_directory_tick(struct bb_directory *d, int64_t now_us)
{
	struct sweep s = { d, now_us, NULL };
	bool changed;

	/* While the registry is down, a missing entry proves nothing. */
	if (!d->registry_down) {
		remove_due(&s, d->items, collect_due_item);
		remove_due(&s, d->hosts, collect_due_host);
	}
	changed = d->changed;
	d->changed = false;
	return changed;
}

/**
 * struct entry_list - construction of the result of bb_directory_entries().
 * @by_address: the item that started last at each address
 * @entries: their entries in order of ids
 */
struct entry_list {
	GHashTable *by_address;
	GPtrArray *entries;
};

static gboolean index_latest(gpointer key, gpointer value, gpointer data)
{
	struct entry_list *l = data;
	const struct item *i = value;
	const struct item *other =
		g_hash_table_lookup(l->by_address, i->entry.address);

	(void)key;
	if (!other || other->entry.started_ms < i->entry.started_ms)
		g_hash_table_replace(l->by_address, i->entry.address, value);
	return FALSE;
}

static gboolean list_latest(gpointer key, gpointer value, gpointer data)
{
	struct entry_list *l = data;
	struct item *i = value;

	(void)key;
	if (g_hash_table_lookup(l->by_address, i->entry.address) == i)
		g_ptr_array_add(l->entries, &i->entry);
	return FALSE;
}

const struct bb_directory_entry **bb_directory_entries(struct bb_directory *d,
						       size_t *nr)
{
	struct entry_list l = { g_hash_table_new(g_str_hash, g_str_equal),
				g_ptr_array_new() };

	g_tree_foreach(d->items, index_latest, &l);
	g_tree_foreach(d->items, list_latest, &l);
	g_hash_table_destroy(l.by_address);
	*nr = l.entries->len;
	return (const struct bb_directory_entry **)g_ptr_array_free(l.entries,
								    FALSE);
}

static gboolean list_host(gpointer key, gpointer value, gpointer data)
{
	const struct host *h = value;
	struct bb_directory_host row = { h->address, h->zone };

	(void)key;
	g_array_append_val((GArray *)data, row);
	return FALSE;
}

static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const struct bb_directory_host *x = a, *y = b;

	return strcmp(x->address, y->address);
}

struct bb_directory_host *bb_directory_hosts(struct bb_directory *d, size_t *nr)
{
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct bb_directory_host));
	struct bb_directory_host self = { d->self_address, d->self_zone };

	g_tree_foreach(d->hosts, list_host, rows);
	if (!g_tree_lookup(d->hosts, d->self_address))
		g_array_append_val(rows, self);
	g_array_sort(rows, compare_hosts);
	*nr = rows->len;
	return (struct bb_directory_host *)(void *)g_array_free(rows, FALSE);
}
