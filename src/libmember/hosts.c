#include "baobabward/hosts.h"

#include <assert.h>
#include <jansson.h>
#include <string.h>

#include "baobabward/wire.h"

const char *const bb_host_state_string[] = { "unlisted", "live", "leaving",
					     "dead" };

static_assert(sizeof(bb_host_state_string) / sizeof(*bb_host_state_string) ==
		      BB_HOST_STATE_COUNT,
	      "a string for each mark");

/* Doublings of the period after failures in a row. */
#define BACKOFF_DOUBLINGS_MAX 16

struct bb_hosts {
	struct bb_hosts_options o;
	uint64_t sequence;
	int64_t read_us;
	int64_t due_us;
	unsigned int failures_in_a_row;
	/* Name to enum bb_host_state. */
	GHashTable *marks;
	/* Set of names that were ordered to leave. */
	GHashTable *leaving;
};

static GHashTable *new_marks(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct bb_hosts *bb_hosts_new(const struct bb_hosts_options *o, int64_t now_us)
{
	struct bb_hosts *h = g_new0(struct bb_hosts, 1);

	h->o = *o;
	h->marks = new_marks();
	h->leaving = new_marks();
	/* Nodes that start together do not read together. */
	h->due_us = now_us +
		    (int64_t)(g_rand_double(o->random) * (double)o->period_us);
	return h;
}

void bb_hosts_delete(struct bb_hosts *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->marks);
	g_hash_table_destroy(h->leaving);
	g_free(h);
}

bool bb_hosts_read_due(struct bb_hosts *h, int64_t now_us)
{
	if (now_us < h->due_us)
		return false;
	h->due_us = INT64_MAX;
	return true;
}

/* From half of the time to one and a half of it. */
static int64_t spread(struct bb_hosts *h, double us)
{
	return (int64_t)(us * (0.5 + g_rand_double(h->o.random)));
}

void bb_hosts_read_unchanged(struct bb_hosts *h, int64_t now_us)
{
	h->failures_in_a_row = 0;
	h->read_us = now_us;
	h->due_us = now_us + spread(h, (double)h->o.period_us);
}

void bb_hosts_read_failed(struct bb_hosts *h, int64_t now_us)
{
	unsigned int doublings =
		MIN(h->failures_in_a_row, BACKOFF_DOUBLINGS_MAX);
	double us = (double)h->o.period_us * (1U << doublings);
	double most = (double)MAX(h->o.backoff_max_us, h->o.period_us);

	h->failures_in_a_row++;
	h->due_us = now_us + spread(h, MIN(us, most));
}

static enum bb_host_state mark_of(const char *state)
{
	for (int i = BB_HOST_LIVE; i < BB_HOST_STATE_COUNT; i++)
		if (!strcmp(state, bb_host_state_string[i]))
			return (enum bb_host_state)i;
	return BB_HOST_UNLISTED;
}

static int add_row(GHashTable *marks, json_t *row, struct bb_error *err)
{
	const char *name = json_string_value(json_object_get(row, "name"));
	const char *state = json_string_value(json_object_get(row, "state"));

	if (!name || !*name || strlen(name) > BB_NAME_MAX || !state)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "a host of the list lacks its name or "
				    "state");
	/* Neither of two contradicting rows can be trusted. */
	if (!g_hash_table_insert(marks, g_strdup(name),
				 GINT_TO_POINTER(mark_of(state))))
		return bb_error_set(err, BB_ERROR_INVALID,
				    "host \"%.64s\" is listed twice", name);
	return 0;
}

static GHashTable *parse_rows(json_t *hosts, struct bb_error *err)
{
	GHashTable *marks;
	json_t *row;
	size_t i;

	if (!json_is_array(hosts)) {
		bb_error_set(err, BB_ERROR_INVALID, "the list has no hosts");
		return NULL;
	}
	marks = new_marks();
	json_array_foreach (hosts, i, row) {
		if (add_row(marks, row, err)) {
			g_hash_table_destroy(marks);
			return NULL;
		}
	}
	return marks;
}

/*
 * Only "live" ends an order to leave: a host may be listed as dead, or be left
 * out, while it is being taken away. The order is forgotten when the host is
 * neither listed nor configured any more, so that names of replaced hosts do
 * not pile up.
 */
static bool still_leaving(const struct bb_hosts *h, GHashTable *marks,
			  const char *host)
{
	gpointer mark;

	if (g_hash_table_lookup_extended(marks, host, NULL, &mark))
		return GPOINTER_TO_INT(mark) != BB_HOST_LIVE;
	return h->o.configured(h->o.data, host);
}

static GHashTable *next_leaving(const struct bb_hosts *h, GHashTable *marks)
{
	GHashTable *next = new_marks();
	GHashTableIter i;
	gpointer name, mark;

	g_hash_table_iter_init(&i, h->leaving);
	while (g_hash_table_iter_next(&i, &name, NULL))
		if (still_leaving(h, marks, name))
			g_hash_table_add(next, g_strdup(name));
	g_hash_table_iter_init(&i, marks);
	while (g_hash_table_iter_next(&i, &name, &mark))
		if (GPOINTER_TO_INT(mark) == BB_HOST_LEAVING)
			g_hash_table_add(next, g_strdup(name));
	return next;
}

static int take(struct bb_hosts *h, json_t *o, struct bb_error *err)
{
	json_t *sequence = json_object_get(o, "sequence");
	GHashTable *marks, *leaving;

	if (!json_is_integer(sequence) || json_integer_value(sequence) < 1)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "the list has no sequence number");
	if ((uint64_t)json_integer_value(sequence) <= h->sequence)
		return bb_error_set(err, BB_ERROR_STALE,
				    "the list is not newer than number "
				    "%" G_GUINT64_FORMAT,
				    h->sequence);
	marks = parse_rows(json_object_get(o, "hosts"), err);
	if (!marks)
		return -1;
	leaving = next_leaving(h, marks);
	g_hash_table_destroy(h->marks);
	g_hash_table_destroy(h->leaving);
	h->marks = marks;
	h->leaving = leaving;
	h->sequence = (uint64_t)json_integer_value(sequence);
	return 0;
}

int bb_hosts_update(struct bb_hosts *h, const char *text, size_t size,
		    int64_t now_us, struct bb_error *err)
{
	struct bb_error why = { 0 };
	json_t *o = json_loadb(text, size, 0, NULL);
	int rc = take(h, o, &why);

	json_decref(o);
	if (rc && why.code != BB_ERROR_STALE)
		bb_hosts_read_failed(h, now_us);
	else
		bb_hosts_read_unchanged(h, now_us);
	if (rc && err)
		*err = why;
	return rc;
}

enum bb_host_state bb_hosts_state(const struct bb_hosts *h, const char *host)
{
	return (enum bb_host_state)GPOINTER_TO_INT(
		g_hash_table_lookup(h->marks, host));
}

bool bb_hosts_leaving(const struct bb_hosts *h, const char *host)
{
	return g_hash_table_contains(h->leaving, host);
}

uint64_t bb_hosts_sequence(const struct bb_hosts *h)
{
	return h->sequence;
}

int64_t bb_hosts_last_read_us(const struct bb_hosts *h)
{
	return h->read_us;
}
