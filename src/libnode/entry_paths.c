/* Nodes that do not answer, and nodes that stop. */
#include "libnode/entry_private.h"

#include <string.h>

#include "baobabward/clock.h"
#include "libnode/loop.h"

/* Time for which the paths to a node that stops are avoided. */
#define AVOID_STOPPING_US (2 * BB_US_PER_S)
/* Time without a sign of life after which a host with a request is asked. */
#define CHECK_AFTER_US (250 * BB_US_PER_MS)
/* Time after which that HELLO counts as unanswered: some round trips, and the
 * turn of a busy node. */
#define HELLO_SILENT_US (200 * BB_US_PER_MS)
/* Time after which a HELLO to a silent node counts as unanswered. */
#define PROBE_WAIT_US (1 * BB_US_PER_S)

/*
 * Least time between two of them, so that a failed zone of 100 hosts does not
 * cost each entry node 100 messages a second.
 */
#define PROBE_INTERVAL_US (100 * BB_US_PER_MS)

static int64_t *probe_us(struct bb_entry *e, uint32_t host)
{
	return &g_array_index(e->probes_us, int64_t, host);
}

void bb_entry_path_silent(struct bb_entry *e, uint32_t host, int64_t sent_us,
			  int64_t now_us)
{
	if (host != BB_NO_ROW)
		bb_paths_record_timeout(e->paths, host, sent_us, now_us);
}

void bb_entry_path_answered(struct bb_entry *e, uint32_t host, bool hello,
			    int64_t now_us)
{
	struct bb_session *s;

	if (host >= e->probes_us->len)
		return;
	*probe_us(e, host) = 0;
	s = bb_sessions_find(e->o.sessions,
			     e->snapshot->config->hosts[host].name);
	s->last_heard_us = now_us;
	s->silent = false;
	bb_paths_record_answer(e->paths, host, hello, now_us);
}

/*
 * Asks the hosts that have had a request for some time without a sign of life
 * since. A path that is cut would show only at the deadline, and meanwhile get
 * more requests.
 */
static void check_outstanding(struct bb_entry *e, int64_t now_us)
{
	const struct bb_config *c = e->snapshot->config;
	GHashTableIter i;
	gpointer key;

	g_hash_table_iter_init(&i, e->calls);
	while (g_hash_table_iter_next(&i, &key, NULL)) {
		const struct bb_attempts *t = key;
		struct bb_session *s;

		if (t->state != ATTEMPT_SENT || t->local ||
		    t->host == BB_NO_ROW ||
		    now_us - t->sent_us < CHECK_AFTER_US)
			continue;
		s = bb_sessions_find(e->o.sessions, c->hosts[t->host].name);
		if (s->hello_us && now_us - s->hello_us >= HELLO_SILENT_US) {
			bb_entry_path_silent(e, t->host, s->hello_us, now_us);
			s->hello_us = 0;
			s->silent = true;
		} else if (!s->hello_us &&
			   now_us - MAX(s->last_heard_us, t->sent_us) >=
				   CHECK_AFTER_US) {
			bb_entry_greet(e, t->host, s, now_us);
		}
	}
}

void bb_entry_tick(struct bb_entry *e, int64_t now_us)
{
	const struct bb_config *c = e->snapshot->config;
	int64_t *sent_us;
	uint32_t due;

	bb_attempts_retry_lost(e, now_us);
	check_outstanding(e, now_us);
	if (now_us < e->next_probe_us)
		return;
	due = bb_paths_hello_due(e->paths, now_us);
	if (due == BB_NO_ROW)
		return;
	e->next_probe_us = now_us + PROBE_INTERVAL_US;
	sent_us = probe_us(e, due);
	if (*sent_us && now_us - *sent_us >= PROBE_WAIT_US)
		bb_paths_record_timeout(e->paths, due, *sent_us, now_us);
	*sent_us = now_us;
	bb_entry_greet(e, due,
		       bb_sessions_find(e->o.sessions, c->hosts[due].name),
		       now_us);
}

void bb_entry_carry_paths(struct bb_entry *e, const struct bb_snapshot *old)
{
	const struct bb_config *c = e->snapshot->config;
	uint32_t *from = g_new(uint32_t, c->hosts_nr + 1);

	for (size_t i = 0; i < c->hosts_nr; i++)
		from[i] = old ? bb_config_find_host(old->config,
						    c->hosts[i].name,
						    strlen(c->hosts[i].name)) :
				BB_NO_ROW;
	e->paths = bb_paths_carry_over(e->paths, from, c->hosts_nr);
	g_free(from);
	/* A HELLO that is lost here is sent again. */
	g_array_set_size(e->probes_us, 0);
	g_array_set_size(e->probes_us, (guint)c->hosts_nr);
}

static void avoid_host(struct bb_entry *e, uint32_t host)
{
	const struct bb_config *c = e->snapshot->config;
	int64_t now_us = bb_clock_now_us();

	for (size_t i = 0; i < c->backends_nr; i++) {
		struct bb_balance *b = e->balances[c->backends[i].service];
		struct bb_path *path;

		if (c->backends[i].host != host)
			continue;
		path = bb_balance_path(b, (uint32_t)i);
		if (path)
			bb_balance_avoid(b, path, now_us + AVOID_STOPPING_US,
					 now_us);
	}
}

void bb_entry_host_stopping(struct bb_entry *e, uint32_t host)
{
	const struct bb_config *c = e->snapshot->config;
	struct bb_session *s;
	GList *all;

	if (host >= c->hosts_nr)
		return;
	s = bb_sessions_find(e->o.sessions, c->hosts[host].name);
	if (!s->established && !s->hello_us)
		return;
	s->established = false;
	s->hello_us = 0;
	avoid_host(e, host);
	all = g_hash_table_get_keys(e->calls);
	for (GList *l = all; l; l = l->next) {
		struct bb_attempts *t = l->data;

		/* An earlier step of this loop may have ended the call. */
		if (!g_hash_table_contains(e->calls, t) ||
		    t->state != ATTEMPT_WAITS_FOR_SESSION || t->host != host)
			continue;
		t->state = ATTEMPT_NONE;
		bb_loop_remove(&t->timer);
		bb_attempts_ended(t, BB_VERDICT_NOT_RUN, BB_REASON_STOPPING);
	}
	g_list_free(all);
}
