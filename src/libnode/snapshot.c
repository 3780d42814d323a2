#include "libnode/snapshot.h"

#include <ck_epoch.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

/**
 * struct bb_snapshots - publication point.
 * @host: name of this node's host
 * @current: published snapshot, NULL before the first; atomic
 * @replaced_nr: number of replaced snapshots that are not released yet
 */
struct bb_snapshots {
	char *host;
	struct bb_snapshot *current;
	unsigned int replaced_nr;
};

/**
 * struct replaced - a snapshot that readers may still see.
 * @entry: links it in the epoch domain; first, so that both have one address
 * @of: where it was published
 * @snapshot: the snapshot
 */
struct replaced {
	ck_epoch_entry_t entry;
	struct bb_snapshots *of;
	struct bb_snapshot *snapshot;
};

/* Pause between two looks at snapshots that cannot be released yet. */
#define RECLAIM_PAUSE_US 1000

/*
 * One epoch domain serves all publication points; each thread has one epoch
 * record. The pointer and the reference count use GLib's atomics, which are
 * compiler builtins, because ThreadSanitizer does not see the memory ordering
 * of Concurrency Kit's assembly.
 */
static ck_epoch_t epoch;
static pthread_once_t epoch_once = PTHREAD_ONCE_INIT;
static pthread_key_t record_key;

static void release_record(void *record)
{
	ck_epoch_unregister(record);
}

static void init_epoch(void)
{
	ck_epoch_init(&epoch);
	pthread_key_create(&record_key, release_record);
}

static ck_epoch_record_t *thread_record(void)
{
	ck_epoch_record_t *r;

	pthread_once(&epoch_once, init_epoch);
	r = pthread_getspecific(record_key);
	if (r)
		return r;
	r = ck_epoch_recycle(&epoch, NULL);
	if (!r) {
		/*
		 * Never freed, because the domain keeps its records linked. The
		 * record of a thread that ended is used again.
		 */
		r = g_aligned_alloc0(1, sizeof(*r), CK_MD_CACHELINE);
		ck_epoch_register(&epoch, r, NULL);
	}
	pthread_setspecific(record_key, r);
	return r;
}

struct bb_snapshots *bb_snapshots_new(const char *host)
{
	struct bb_snapshots *s = g_new0(struct bb_snapshots, 1);

	s->host = g_strdup(host);
	return s;
}

static bool is_newer(const struct bb_config *c, const struct bb_config *old)
{
	return c->version > old->version ||
	       (c->version == old->version && c->revision > old->revision);
}

static void release_replaced(ck_epoch_entry_t *entry)
{
	struct replaced *r = (struct replaced *)entry;

	r->of->replaced_nr--;
	bb_snapshot_put(r->snapshot);
	g_free(r);
}

static void release_later(struct bb_snapshots *s, struct bb_snapshot *old)
{
	struct replaced *r = g_new0(struct replaced, 1);

	r->of = s;
	r->snapshot = old;
	s->replaced_nr++;
	ck_epoch_call(thread_record(), &r->entry, release_replaced);
}

bool bb_snapshots_reclaim(struct bb_snapshots *s)
{
	if (s->replaced_nr)
		ck_epoch_poll(thread_record());
	return s->replaced_nr;
}

bool bb_snapshots_swap(struct bb_snapshots *s, struct bb_config *config)
{
	struct bb_snapshot *old = s->current;
	struct bb_snapshot *next;

	if (old && !is_newer(config, old->config)) {
		bb_config_delete(config);
		return false;
	}
	next = g_new0(struct bb_snapshot, 1);
	next->config = config;
	next->self = bb_config_find_host(config, s->host, strlen(s->host));
	next->refs = 1;
	g_atomic_pointer_set(&s->current, next);
	if (old)
		release_later(s, old);
	bb_snapshots_reclaim(s);
	return true;
}

struct bb_snapshot *bb_snapshots_get(struct bb_snapshots *s)
{
	ck_epoch_record_t *r = thread_record();
	struct bb_snapshot *snapshot;

	ck_epoch_begin(r, NULL);
	snapshot = g_atomic_pointer_get(&s->current);
	if (snapshot)
		g_atomic_int_inc(&snapshot->refs);
	ck_epoch_end(r, NULL);
	return snapshot;
}

struct bb_snapshot *bb_snapshot_ref(struct bb_snapshot *snapshot)
{
	g_atomic_int_inc(&snapshot->refs);
	return snapshot;
}

void bb_snapshot_put(struct bb_snapshot *snapshot)
{
	if (!snapshot)
		return;
	if (!g_atomic_int_dec_and_test(&snapshot->refs))
		return;
	bb_config_delete(snapshot->config);
	g_free(snapshot);
}

void bb_snapshots_delete(struct bb_snapshots *s)
{
	if (!s)
		return;
	while (bb_snapshots_reclaim(s))
		g_usleep(RECLAIM_PAUSE_US);
	bb_snapshot_put(s->current);
	g_free(s->host);
	g_free(s);
}
