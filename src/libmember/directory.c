/*
 * Directory of discovered backend servers.
 *
 * A missing entry gets a time at which it is dropped: the present time or,
 * after an outage of the registry in which it may have expired, the time by
 * which its backend server must have registered again. bb_directory_tick() drops
 * what is due, and drops nothing while the registry is down.
 *
 * Two starts under one id are told apart by the time of day that each backend
 * server gives, whose order does not prove which one is the later: the clock may
 * have been set back between them. The last write wins, but one with an earlier
 * start is in doubt at first, since it may be a delayed write of the former
 * process. The present process then writes its entry again with its next
 * heartbeat.
 *
 * A registry that was restored from an older copy has entries of backend servers
 * that have left since, and has those as ready that were leaving. What was known
 * of their leaving is therefore kept for some time by id and start.
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
/* Heartbeats that must fail for an entry to expire: one more is written just
 * before an outage at the earliest. */
#define EXPIRY_HEARTBEATS 2
/* Longer than a host has no entry while its backend server restarts. */
#define DEFAULT_HOST_RETENTION_US (60 * BB_US_PER_S)

/* Longest delay of a write: time in which a write of an earlier start is in
 * doubt where the known one is leaving, so that it would put a backend server
 * back into use. */
#define LATE_WRITE_US (8 * BB_US_PER_S)

/* Longer than a backend server takes to leave, and than a copy is old. */
#define DEPARTURE_RETENTION_US (600 * BB_US_PER_S)

/**
 * struct item - a known entry.
 * @entry: the entry; its strings are owned
 * @listed: part of the list that is being read
 * @drop_us: time at which the missing entry is dropped, INT64_MAX if present
 * @usable_us: time from which it is in use, 0 for always; for an entry that was
 *             removed and that a restored registry still has
 * @doubted: entry of an earlier start that was written after @entry; its strings
 *           are owned, @doubted.id is NULL if there is none
 * @doubted_until_us: time at which it takes the place of @entry
 * @former_ms: start whose place @entry took, 0 if none is known
 */
struct item {
	struct bb_directory_entry entry;
	bool listed;
	int64_t drop_us;
	int64_t usable_us;
	struct bb_directory_entry doubted;
	int64_t doubted_until_us;
	int64_t former_ms;
};

/**
 * struct departure - a backend server that was leaving or whose entry was
 * removed.
 * @started_ms: its start
 * @leaving: its entry said that it is leaving
 * @noted_us: when this was last noted
 */
struct departure {
	int64_t started_ms;
	bool leaving;
	int64_t noted_us;
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
 * @departures: struct departure by id
 * @registry_up_us: when the registry was last reachable again after an outage
 *                  in which entries may have expired
 * @answers_since_us: when it was last reachable again
 * @down_since_us: since when it may not have taken the writes of backend servers
 * @restored_us: when the registry was last restored from a copy
 * @now_us: time of the last tick while the registry was not down
 * @registry_down: the registry does not answer
 * @changed: entries or hosts changed since the last tick
 */
struct bb_directory {
	struct bb_directory_options o;
	char *self_address;
	char *self_zone;
	GTree *items;
	GTree *hosts;
	GHashTable *departures;
	int64_t registry_up_us;
	int64_t answers_since_us;
	int64_t down_since_us;
	int64_t restored_us;
	int64_t now_us;
	bool registry_down;
	bool changed;
};

void bb_directory_entry_clear(struct bb_directory_entry *e)
{
	g_free(e->id);
	g_free(e->service);
	g_free(e->zone);
	g_free(e->address);
	*e = (struct bb_directory_entry){ 0 };
}

static struct bb_directory_entry entry_copy(const struct bb_directory_entry *e)
{
	struct bb_directory_entry copy = *e;

	copy.id = g_strdup(e->id);
	copy.service = g_strdup(e->service);
	copy.zone = g_strdup(e->zone);
	copy.address = g_strdup(e->address);
	return copy;
}

static void item_delete(gpointer data)
{
	struct item *i = data;

	bb_directory_entry_clear(&i->entry);
	bb_directory_entry_clear(&i->doubted);
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
	d->departures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->registry_up_us = INT64_MIN / 2;
	d->answers_since_us = INT64_MIN / 2;
	d->restored_us = INT64_MIN / 2;
	d->changed = true;
	return d;
}

void bb_directory_delete(struct bb_directory *d)
{
	if (!d)
		return;
	g_tree_destroy(d->items);
	g_tree_destroy(d->hosts);
	g_hash_table_destroy(d->departures);
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

/* A list may have the same write again, which then tells nothing of the present
 * time. */
static int64_t cold_until(const struct item *known,
			  const struct bb_directory_entry *e, int64_t now_us)
{
	const struct bb_directory_entry *k = known ? &known->entry : NULL;

	if (k && k->started_ms == e->started_ms &&
	    k->warmup_left_ms == e->warmup_left_ms)
		return k->cold_until_us;
	return e->warmup_left_ms > 0 ?
		       now_us + e->warmup_left_ms * BB_US_PER_MS :
		       0;
}

/* Only the node beside a backend server paces its requests, so that a cold time
 * alone is no change for the others. */
static void update_cold_time(struct bb_directory *d, struct item *i,
			     const struct bb_directory_entry *e)
{
	if (i->entry.cold_until_us != e->cold_until_us &&
	    !g_strcmp0(e->address, d->self_address))
		d->changed = true;
	i->entry.warmup_left_ms = e->warmup_left_ms;
	i->entry.cold_until_us = e->cold_until_us;
}

static void note_departure(struct bb_directory *d,
			   const struct bb_directory_entry *e, int64_t now_us)
{
	struct departure *x = g_hash_table_lookup(d->departures, e->id);

	if (!x) {
		x = g_new0(struct departure, 1);
		g_hash_table_insert(d->departures, g_strdup(e->id), x);
	}
	x->leaving = e->leaving ||
		     (x->leaving && x->started_ms == e->started_ms);
	x->started_ms = e->started_ms;
	x->noted_us = now_us;
}

/* Known departure of the same process; one whose start is unknown cannot be told
 * from the next. */
static const struct departure *
find_departure(const struct bb_directory *d, const struct bb_directory_entry *e)
{
	const struct departure *x = g_hash_table_lookup(d->departures, e->id);

	return x && e->started_ms && x->started_ms == e->started_ms ? x : NULL;
}

/* An entry that was removed is in use at once if it is written again, but if it
 * may come from the copy, only when it has not been removed again in the time in
 * which all that was lost is written again. */
static int64_t usable_time(const struct bb_directory *d, const struct item *i,
			   const struct departure *x, int64_t now_us)
{
	int64_t rewritten_us = d->restored_us + d->o.reregistration_us;

	if (i)
		return i->usable_us;
	return x && now_us < rewritten_us ? rewritten_us : 0;
}

/*
 * Notes a write of an earlier start. If it says that the backend server is
 * leaving, that holds at once, unless it comes from the start before, which may
 * have been leaving itself.
 */
static void doubt_entry(struct bb_directory *d, struct item *i,
			const struct bb_directory_entry *e, int64_t now_us)
{
	if (!i->doubted.id || i->doubted.started_ms != e->started_ms)
		i->doubted_until_us = now_us + (i->entry.leaving ?
							LATE_WRITE_US :
							d->o.reregistration_us);
	bb_directory_entry_clear(&i->doubted);
	i->doubted = entry_copy(e);
	if (!e->leaving || i->entry.leaving || e->started_ms == i->former_ms)
		return;
	i->entry.leaving = true;
	d->changed = true;
}

static void put_entry(struct bb_directory *d,
		      const struct bb_directory_entry *written, int64_t now_us)
{
	struct item *i = g_tree_lookup(d->items, written->id);
	struct bb_directory_entry entry = *written;
	const struct bb_directory_entry *e = &entry;
	int64_t former_ms = 0;
	const struct departure *x;
	int64_t usable_us;

	if (i)
		former_ms = i->entry.started_ms == e->started_ms ?
				    i->former_ms :
				    i->entry.started_ms;
	x = find_departure(d, e);
	entry.leaving = e->leaving || (x && x->leaving);
	entry.cold_until_us = cold_until(i, e, now_us);
	update_host(d, e, now_us);
	if (i && same_entry(&i->entry, e)) {
		i->listed = true;
		i->drop_us = INT64_MAX;
		update_cold_time(d, i, e);
		return;
	}
	if (e->leaving)
		note_departure(d, e, now_us);
	usable_us = usable_time(d, i, x, now_us);
	i = g_new0(struct item, 1);
	i->usable_us = usable_us;
	i->entry = entry_copy(e);
	i->former_ms = former_ms;
	i->listed = true;
	i->drop_us = INT64_MAX;
	g_tree_replace(d->items, i->entry.id, i);
	d->changed = true;
}

void bb_directory_put(struct bb_directory *d,
		      const struct bb_directory_entry *e, int64_t now_us)
{
	struct item *i = g_tree_lookup(d->items, e->id);

	if (i && i->entry.started_ms > e->started_ms) {
		i->listed = true;
		i->drop_us = INT64_MAX;
		doubt_entry(d, i, e, now_us);
		return;
	}
	if (i)
		bb_directory_entry_clear(&i->doubted);
	put_entry(d, e, now_us);
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

	if (!i)
		return;
	bb_directory_entry_clear(&i->doubted);
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

/* A backend server may have written nothing in a shorter time between two
 * outages, which then count as one. */
void bb_directory_registry_down(struct bb_directory *d, int64_t since_us)
{
	if (!d->registry_down &&
	    since_us - d->answers_since_us >= d->o.heartbeat_us)
		d->down_since_us = since_us;
	d->registry_down = true;
}

void bb_directory_registry_restored(struct bb_directory *d, int64_t now_us)
{
	d->registry_down = false;
	d->registry_up_us = now_us;
	d->restored_us = now_us;
}

void bb_directory_registry_up(struct bb_directory *d, int64_t now_us)
{
	int64_t expiry_us = EXPIRY_HEARTBEATS * d->o.heartbeat_us;

	if (!d->registry_down)
		return;
	d->registry_down = false;
	d->answers_since_us = now_us;
	if (now_us - d->down_since_us >= expiry_us)
		d->registry_up_us = now_us;
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
		note_departure(s->directory, &i->entry, s->now_us);
		g_ptr_array_add(s->due_keys, key);
		return FALSE;
	}
	if (i->usable_us > s->directory->now_us && i->usable_us <= s->now_us)
		s->directory->changed = true;
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

static gboolean collect_undoubted(gpointer key, gpointer value, gpointer data)
{
	struct sweep *s = data;
	const struct item *i = value;

	if (i->doubted.id && s->now_us >= i->doubted_until_us)
		g_ptr_array_add(s->due_keys, key);
	return FALSE;
}

/* Puts the entries in force that were in doubt for long enough. */
static void end_doubts(struct sweep *s)
{
	GTree *items = s->directory->items;

	s->due_keys = g_ptr_array_new();
	g_tree_foreach(items, collect_undoubted, s);
	for (guint n = 0; n < s->due_keys->len; n++) {
		struct item *i = g_tree_lookup(items, s->due_keys->pdata[n]);
		struct bb_directory_entry e = i->doubted;

		i->doubted = (struct bb_directory_entry){ 0 };
		put_entry(s->directory, &e, s->now_us);
		bb_directory_entry_clear(&e);
	}
	g_ptr_array_free(s->due_keys, TRUE);
}

static gboolean is_old_departure(gpointer key, gpointer value, gpointer data)
{
	const struct departure *x = value;
	const struct sweep *s = data;

	(void)key;
	return s->now_us - x->noted_us >= DEPARTURE_RETENTION_US;
}

bool bb_directory_tick(struct bb_directory *d, int64_t now_us)
{
	struct sweep s = { d, now_us, NULL };
	bool changed;

	/* While the registry is down, a missing entry proves nothing. */
	if (!d->registry_down) {
		end_doubts(&s);
		remove_due(&s, d->items, collect_due_item);
		remove_due(&s, d->hosts, collect_due_host);
		g_hash_table_foreach_remove(d->departures, is_old_departure,
					    &s);
		d->now_us = now_us;
	}
	changed = d->changed;
	d->changed = false;
	return changed;
}

/**
 * struct entry_list - construction of the result of bb_directory_entries().
 * @by_address: the item in use that started last at each address
 * @entries: their entries in order of ids
 * @filter: of bb_directory_entries()
 * @now_us: as in struct bb_directory
 */
struct entry_list {
	GHashTable *by_address;
	GPtrArray *entries;
	const struct bb_directory_filter *filter;
	int64_t now_us;
};

static gboolean index_latest(gpointer key, gpointer value, gpointer data)
{
	struct entry_list *l = data;
	const struct item *i = value;
	const struct item *other =
		g_hash_table_lookup(l->by_address, i->entry.address);

	(void)key;
	if (i->usable_us > l->now_us ||
	    (l->filter && !l->filter->accepts(l->filter->data, &i->entry)))
		return FALSE;
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

const struct bb_directory_entry **
bb_directory_entries(struct bb_directory *d,
		     const struct bb_directory_filter *filter, size_t *nr)
{
	struct entry_list l = { g_hash_table_new(g_str_hash, g_str_equal),
				g_ptr_array_new(), filter, d->now_us };

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
