#include "libnode/notices.h"

#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/wire.h"

/*
 * Time without use after which a record is dropped: longer than a backend
 * server takes to leave. Records of backend servers that get requests are used
 * all the time.
 */
#define RECORD_RETENTION_US (3600 * BB_US_PER_S)
/* Interval of dropping records. */
#define SWEEP_INTERVAL_US (60 * BB_US_PER_S)

/**
 * struct bb_notices - what backend servers said.
 * @records: records by name and start of the backend server, as in write_key()
 * @next_sweep_us: when unused records are next dropped
 */
struct bb_notices {
	GHashTable *records;
	int64_t next_sweep_us;
};

/* Size of a start of up to BB_BACKEND_STARTED_MS_MAX as text, with a space. */
#define START_TEXT_SIZE 20

struct key {
	char text[BB_NAME_MAX + START_TEXT_SIZE];
};

static const char *write_key(struct key *k, const char *backend,
			     double started_ms)
{
	g_snprintf(k->text, sizeof(k->text), "%.0f %s", started_ms, backend);
	return k->text;
}

static struct bb_notice_record *
find_record(const struct bb_notices *n, const char *backend, double started_ms)
{
	struct key k;

	return g_hash_table_lookup(n->records,
				   write_key(&k, backend, started_ms));
}

struct bb_notices *bb_notices_new(void)
{
	struct bb_notices *n = g_new0(struct bb_notices, 1);

	n->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return n;
}

void bb_notices_delete(struct bb_notices *n)
{
	if (!n)
		return;
	g_hash_table_destroy(n->records);
	g_free(n);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const struct bb_notice_record *r = value;
	const int64_t *now_us = data;

	(void)key;
	return *now_us - r->used_us >= RECORD_RETENTION_US;
}

static void drop_unused(struct bb_notices *n, int64_t now_us)
{
	if (now_us < n->next_sweep_us)
		return;
	n->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	g_hash_table_foreach_remove(n->records, is_unused, &now_us);
}

struct bb_notice_record *bb_notices_get(struct bb_notices *n,
					const char *backend, double started_ms,
					int64_t now_us)
{
	struct bb_notice_record *r;
	struct key k;

	drop_unused(n, now_us);
	r = find_record(n, backend, started_ms);
	if (!r) {
		r = g_new0(struct bb_notice_record, 1);
		r->limit_per_s = -1;
		g_hash_table_insert(
			n->records,
			g_strdup(write_key(&k, backend, started_ms)), r);
	}
	r->used_us = now_us;
	return r;
}

static bool same_notice(const struct bb_notice *a, const struct bb_notice *b)
{
	return a->limit == b->limit && a->limit_per_s == b->limit_per_s &&
	       a->leaving == b->leaving && a->unreadable == b->unreadable;
}

bool bb_notices_take(struct bb_notice_record *r, const struct bb_notice *notice,
		     int64_t sent_us, int64_t now_us)
{
	bool changed = !same_notice(&r->last, notice);

	r->last = *notice;
	r->leaving = r->leaving || notice->leaving;
	switch (notice->limit) {
	case BB_LIMIT_NAMED:
		r->limit_per_s = notice->limit_per_s;
		r->limit_named_us = now_us;
		break;
	case BB_LIMIT_NONE:
		if (sent_us >= r->limit_named_us)
			r->limit_per_s = -1;
		break;
	case BB_LIMIT_UNREADABLE:
		break;
	}
	return changed;
}

double bb_notices_limit(const struct bb_notices *n, const char *backend,
			double started_ms)
{
	const struct bb_notice_record *r = find_record(n, backend, started_ms);

	return r ? r->limit_per_s : -1;
}

bool bb_notices_is_leaving(const struct bb_notices *n, const char *backend,
			   double started_ms)
{
	const struct bb_notice_record *r = find_record(n, backend, started_ms);

	return r && r->leaving;
}
