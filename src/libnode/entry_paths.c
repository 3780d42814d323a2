/* Paths to nodes that do not answer or are stopping. */
#include "libnode/entry_private.h"

#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"
#include "libnode/loop.h"

/* Time for which the paths to a stopping node are avoided. */
#define AVOID_STOPPING_US (2 * BB_US_PER_S)
/*
 * Time without a message from a host, while it has a request, after which a
 * HELLO checks whether it answers.
 */
#define SILENCE_CHECK_US (250 * BB_US_PER_MS)
/*
 * Time after which that HELLO counts as unanswered: several round trips and the
 * loop iteration of a busy node.
 */
#define SILENCE_TIMEOUT_US (200 * BB_US_PER_MS)
/* Time after which the HELLO of a probe counts as unanswered. */
#define PROBE_TIMEOUT_US (1 * BB_US_PER_S)

/*
 * Minimum interval between two probes. Without it, a failed availability zone
 * with 100 hosts would cost each entry node 100 messages per second.
 */
#define PROBE_INTERVAL_US (100 * BB_US_PER_MS)

static int64_t *probe_sent_us(struct bb_entry *e, uint32_t host)
{
	return &g_array_index(e->probe_sent_us, int64_t, host);
}

void bb_entry_record_path_timeout(struct bb_entry *e, uint32_t host,
				  int64_t sent_us, int64_t now_us)
{
	if (host != BB_NO_ROW)
		bb_paths_record_timeout(e->paths, host, sent_us, now_us);
}

void bb_entry_record_path_answer(struct bb_entry *e, uint32_t host, bool hello,
				 int64_t now_us)
{
	struct bb_session *s;

	if (host >= e->probe_sent_us->len)
		return;
	*probe_sent_us(e, host) = 0;
	s = bb_sessions_find(e->o.sessions,
			     e->snapshot->config->hosts[host].name);
	s->last_heard_us = now_us;
	s->silent = false;
	bb_paths_record_answer(e->paths, host, hello, now_us);
}

/*
 * Sends a HELLO to hosts that have had a request for SILENCE_CHECK_US without
 * sending a message. Otherwise a path that is cut would be noticed only at the
 * deadline, and it would get more requests until then.
 */
static void check_unanswered_requests(struct bb_entry *e, int64_t now_us)
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
		    now_us - t->sent_us < SILENCE_CHECK_US)
			continue;
		s = bb_sessions_find(e->o.sessions, c->hosts[t->host].name);
		if (s->hello_us && now_us - s->hello_us >= SILENCE_TIMEOUT_US) {
			bb_entry_record_path_timeout(e, t->host, s->hello_us,
						     now_us);
			s->hello_us = 0;
			s->silent = true;
		} else if (!s->hello_us &&
			   now_us - MAX(s->last_heard_us, t->sent_us) >=
				   SILENCE_CHECK_US) {
			bb_entry_send_hello(e, t->host, s, now_us);
		}
	}
}

void bb_entry_tick(struct bb_entry *e, int64_t now_us)
{
	const struct bb_config *c = e->snapshot->config;
	int64_t *sent_us;
	uint32_t due;

	bb_attempts_retry_lost(e, now_us);
	check_unanswered_requests(e, now_us);
	if (now_us < e->next_probe_us)
		return;
	due = bb_paths_hello_due(e->paths, now_us);
	if (due == BB_NO_ROW)
		return;
	e->next_probe_us = now_us + PROBE_INTERVAL_US;
	sent_us = probe_sent_us(e, due);
	if (*sent_us && now_us - *sent_us >= PROBE_TIMEOUT_US)
		bb_paths_record_timeout(e->paths, due, *sent_us, now_us);
	*sent_us = now_us;
	bb_entry_send_hello(e, due,
			    bb_sessions_find(e->o.sessions, c->hosts[due].name),
			    now_us);
}

void bb_entry_carry_over_paths(struct bb_entry *e,
			       const struct bb_snapshot *old)
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
	/* Probes in progress are forgotten here and sent again. */
	g_array_set_size(e->probe_sent_us, 0);
	g_array_set_size(e->probe_sent_us, (guint)c->hosts_nr);
}

/* False if the report changes nothing. */
static bool take_report(struct bb_entry *e, uint32_t host,
			const struct bb_backend_report *r,
			const struct bb_report_origin *o, int64_t now_us)
{
	const struct bb_config *c = e->snapshot->config;
	uint32_t i =
		bb_config_find_backend(c, r->backend.data, r->backend.size);
	struct bb_balance *b;
	struct bb_path *path;
	struct bb_load seen;

	if (i == BB_NO_ROW || c->backends[i].host != host)
		return false;
	b = e->balances[c->backends[i].service];
	path = bb_balance_path(b, i);
	if (!path || !r->load.slots ||
	    !bb_backend_view_report(
		    e->view, r, (uint64_t)c->backends[i].started_ms, o, now_us))
		return false;
	seen = bb_backend_view_seen(&r->load, c->backends[i].slots);
	bb_balance_report(b, path, &seen, now_us - o->age_min_us);
	return true;
}

void bb_entry_reports(struct bb_entry *e, uint32_t host, uint64_t incarnation,
		      int64_t clock_us, const struct bb_backend_report *reports,
		      size_t nr)
{
	const struct bb_config *c = e->snapshot->config;
	struct bb_report_origin o = { incarnation, clock_us, 0, 0 };
	int64_t now_us = bb_clock_now_us();
	const struct bb_session *s;

	if (!c->policies.report_bytes_per_s || host >= c->hosts_nr || !nr)
		return;
	s = bb_sessions_find(e->o.sessions, c->hosts[host].name);
	if (!s->established || s->incarnation != incarnation) {
		bb_metrics_add(BB_METRIC_REPORTS_IGNORED, nr);
		return;
	}
	bb_session_age(s, clock_us, now_us, &o.age_min_us, &o.age_max_us);
	for (size_t i = 0; i < nr; i++)
		bb_metrics_add(take_report(e, host, &reports[i], &o, now_us) ?
				       BB_METRIC_REPORTS_USED :
				       BB_METRIC_REPORTS_IGNORED,
			       1);
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
	s->stopping = true;
	s->hello_us = 0;
	avoid_host(e, host);
	all = g_hash_table_get_keys(e->calls);
	for (GList *l = all; l; l = l->next) {
		struct bb_attempts *t = l->data;

		/* An earlier iteration may have ended the call. */
		if (!g_hash_table_contains(e->calls, t) ||
		    t->state != ATTEMPT_WAITS_FOR_SESSION || t->host != host)
			continue;
		t->state = ATTEMPT_NONE;
		bb_loop_remove(&t->timer);
		bb_attempts_fail_current(t, BB_VERDICT_NOT_RUN,
					 BB_REASON_STOPPING);
	}
	g_list_free(all);
}
