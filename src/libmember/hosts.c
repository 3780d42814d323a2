/*
 * The platform's list of live and leaving hosts.
 *
 * A list is applied as a whole or not at all, and only if its sequence number
 * is higher than that of the list in force.
 */
#include "baobabward/hosts.h"

#include <assert.h>
#include <jansson.h>
#include <string.h>

#include "baobabward/wire.h"

const char *const bb_host_state_string[] = { "unlisted", "live", "leaving",
					     "dead" };

static_assert(sizeof(bb_host_state_string) / sizeof(*bb_host_state_string) ==
		      BB_HOST_STATE_COUNT,
	      "bb_host_state_string needs one string per enum bb_host_state");

/* Largest number of doublings of the period after consecutive failures. */
#define BACKOFF_DOUBLINGS_MAX 16

struct bb_hosts {
	struct bb_hosts_options o;
	uint64_t sequence;
	int64_t last_read_us;
	int64_t next_read_us;
	unsigned int consecutive_failures;
	/* Maps host names to enum bb_host_state. */
	GHashTable *states;
	/* Set of names of hosts that were ordered to leave. */
	GHashTable *leaving;
};

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct bb_hosts *bb_hosts_new(const struct bb_hosts_options *o, int64_t now_us)
{
	struct bb_hosts *h = g_new0(struct bb_hosts, 1);

	h->o = *o;
	h->states = new_table();
	h->leaving = new_table();
	/* Jitter: nodes that start together must not read together. */
	h->next_read_us = now_us + (int64_t)(g_rand_double(o->random) *
					     (double)o->period_us);
	return h;
}

void bb_hosts_delete(struct bb_hosts *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->states);
	g_hash_table_destroy(h->leaving);
	g_free(h);
}

bool bb_hosts_read_due(struct bb_hosts *h, int64_t now_us)
{
	if (now_us < h->next_read_us)
		return false;
	h->next_read_us = INT64_MAX;
	return true;
}

/* Random time from 0.5 to 1.5 times @us. */
static int64_t jitter(struct bb_hosts *h, double us)
{
	return (int64_t)(us * (0.5 + g_rand_double(h->o.random)));
}

void bb_hosts_read_unchanged(struct bb_hosts *h, int64_t now_us)
{
	h->consecutive_failures = 0;
	h->last_read_us = now_us;
	h->next_read_us = now_us + jitter(h, (double)h->o.period_us);
}

void bb_hosts_read_failed(struct bb_hosts *h, int64_t now_us)
{
	unsigned int doublings =
		MIN(h->consecutive_failures, BACKOFF_DOUBLINGS_MAX);
	double us = (double)h->o.period_us * (1U << doublings);
	double max_us = (double)MAX(h->o.backoff_max_us, h->o.period_us);

	h->consecutive_failures++;
	h->next_read_us = now_us + jitter(h, MIN(us, max_us));
}

static enum bb_host_state parse_state(const char *state)
{
	for (int i = BB_HOST_LIVE; i < BB_HOST_STATE_COUNT; i++)
		if (!strcmp(state, bb_host_state_string[i]))
			return (enum bb_host_state)i;
	return BB_HOST_UNLISTED;
}

static int add_row(GHashTable *states, json_t *row, struct bb_error *err)
{
	const char *name = json_string_value(json_object_get(row, "name"));
	const char *state = json_string_value(json_object_get(row, "state"));

	if (!name || !*name || strlen(name) > BB_NAME_MAX || !state)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "host list has a row without a valid name "
				    "or without a state");
	/* Of two rows on one host, neither can be trusted. */
	if (!g_hash_table_insert(states, g_strdup(name),
				 GINT_TO_POINTER(parse_state(state))))
		return bb_error_set(err, BB_ERROR_INVALID,
				    "host list names host \"%.64s\" twice",
				    name);
	return 0;
}

static GHashTable *parse_rows(json_t *hosts, struct bb_error *err)
{
	GHashTable *states;
	json_t *row;
	size_t i;

	if (!json_is_array(hosts)) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "host list has no array of hosts");
		return NULL;
	}
	states = new_table();
	json_array_foreach (hosts, i, row) {
		if (add_row(states, row, err)) {
			g_hash_table_destroy(states);
			return NULL;
		}
	}
	return states;
}

/*
 * Whether an order to leave still applies after a new list. Only "live" ends
 * it: a host may be listed as dead, or be left out, while it is being removed.
 * The order is dropped when the host is neither listed nor configured any more,
 * so that names of replaced hosts do not accumulate.
 */
static bool still_leaving(const struct bb_hosts *h, GHashTable *states,
			  const char *host)
{
	gpointer state;

	if (g_hash_table_lookup_extended(states, host, NULL, &state))
		return GPOINTER_TO_INT(state) != BB_HOST_LIVE;
	return h->o.configured(h->o.data, host);
}

static GHashTable *next_leaving(const struct bb_hosts *h, GHashTable *states)
{
	GHashTable *next = new_table();
	GHashTableIter i;
	gpointer name, state;

	g_hash_table_iter_init(&i, h->leaving);
	while (g_hash_table_iter_next(&i, &name, NULL))
		if (still_leaving(h, states, name))
			g_hash_table_add(next, g_strdup(name));
	g_hash_table_iter_init(&i, states);
	while (g_hash_table_iter_next(&i, &name, &state))
		if (GPOINTER_TO_INT(state) == BB_HOST_LEAVING)
			g_hash_table_add(next, g_strdup(name));
	return next;
}

static int apply_list(struct bb_hosts *h, json_t *o, struct bb_error *err)
{
	json_t *sequence = json_object_get(o, "sequence");
	GHashTable *states, *leaving;

	if (!json_is_integer(sequence) || json_integer_value(sequence) < 1)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"host list has no positive sequence number");
	if ((uint64_t)json_integer_value(sequence) <= h->sequence)
		return bb_error_set(
			err, BB_ERROR_STALE,
			"host list is not newer than the one in force, "
			"sequence number %" G_GUINT64_FORMAT,
			h->sequence);
	states = parse_rows(json_object_get(o, "hosts"), err);
	if (!states)
		return -1;
	leaving = next_leaving(h, states);
	g_hash_table_destroy(h->states);
	g_hash_table_destroy(h->leaving);
	h->states = states;
	h->leaving = leaving;
	h->sequence = (uint64_t)json_integer_value(sequence);
	return 0;
}

int bb_hosts_update(struct bb_hosts *h, const char *text, size_t size,
		    int64_t now_us, struct bb_error *err)
{
	struct bb_error why = { 0 };
	json_t *o = json_loadb(text, size, 0, NULL);
	int rc = apply_list(h, o, &why);

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
		g_hash_table_lookup(h->states, host));
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
	return h->last_read_us;
}
