/*
 * Configuration and health of the backend servers beside this node, and whether
 * their host is leaving.
 */
#include "libnode/adjacent_private.h"

#include "baobabward/clock.h"

bool bb_adjacent_is_leaving(const struct adjacent_backend *b)
{
	return !b->configured || b->state != BB_BACKEND_IN || b->said_leaving ||
	       b->evacuated || b->adjacent->host_leaving;
}

struct bb_notice_record *bb_adjacent_record(const struct adjacent_backend *b,
					    int64_t now_us)
{
	struct bb_notices *n = b->adjacent->o.notices;

	return n ? bb_notices_get(n, b->name, b->started_ms, now_us) : NULL;
}

/* After a readmission only a part of the slots is used at first. */
static void apply_limits(struct adjacent_backend *b)
{
	uint32_t slots = (uint32_t)(b->slots * b->weight + 0.5);

	bb_queue_set_limits(b->queue, MAX(1, slots), b->max_connections);
	bb_queue_set_ranked(b->queue,
			    b->adjacent->snapshot->config->policies.rank_order);
}

/* Requests that wait for a leaving backend server can run elsewhere. */
static void drain_if_leaving(struct adjacent_backend *b)
{
	if (bb_adjacent_is_leaving(b))
		bb_queue_drain(b->queue, BB_REASON_LEAVING);
}

void bb_adjacent_apply_notices(struct adjacent_backend *b,
			       const struct bb_notice_record *r, int64_t now_us)
{
	if (!r)
		return;
	b->named_limit_per_s = r->limit_per_s;
	bb_adjacent_apply_rate(b, now_us);
	b->said_leaving = r->leaving;
	drain_if_leaving(b);
}

static void configure_backend(struct bb_adjacent *a, const struct bb_config *c,
			      const struct bb_backend *row)
{
	struct adjacent_backend *b =
		g_hash_table_lookup(a->backends, row->name);
	struct bb_queue_options qo = {
		.slots = row->slots,
		.max_connections = row->max_connections,
		.booking_wait_us = a->o.booking_wait_us,
		.refuse = bb_adjacent_queue_refused,
		.data = a,
	};
	bool started = !b || b->started_ms != row->started_ms;
	int64_t now_us;

	if (!b) {
		b = g_new0(struct adjacent_backend, 1);
		b->name = g_strdup(row->name);
		b->adjacent = a;
		b->admit = true;
		b->weight = 1.0;
		b->named_limit_per_s = -1;
		b->queue = bb_queue_new(&qo);
		g_hash_table_insert(a->backends, b->name, b);
	}
	g_free(b->url);
	b->url = g_strdup(row->url);
	b->slots = row->slots;
	b->max_connections = row->max_connections;
	b->state = row->state;
	/* Failures and speed of a former process say nothing of the next one. */
	if (b->started_ms != row->started_ms) {
		b->breaker = (struct bb_breaker){ 0 };
		b->cost = (struct bb_server_cost){ 0 };
	}
	b->started_ms = row->started_ms;
	b->breaker.reported = a->snapshot->config->policies.report_bytes_per_s >
			      0;
	apply_limits(b);
	b->configured = true;
	now_us = bb_clock_now_us();
	bb_adjacent_configure_warmup(b, c, row, started, now_us);
	bb_adjacent_apply_notices(b, bb_adjacent_record(b, now_us), now_us);
	bb_adjacent_tick_warmup(b, now_us);
}

static gboolean is_gone(gpointer key, gpointer value, gpointer data)
{
	const struct adjacent_backend *b = value;

	(void)key;
	(void)data;
	return !b->configured && !bb_queue_running(b->queue) &&
	       !bb_queue_waiting(b->queue) && !b->receiving;
}

void bb_adjacent_configure(struct bb_adjacent *a, struct bb_snapshot *snapshot)
{
	const struct bb_config *c = snapshot->config;
	struct bb_snapshot *old = a->snapshot;
	GHashTableIter i;
	gpointer value;

	a->snapshot = bb_snapshot_ref(snapshot);
	bb_snapshot_put(old);
	g_hash_table_iter_init(&i, a->backends);
	while (g_hash_table_iter_next(&i, NULL, &value))
		((struct adjacent_backend *)value)->configured = false;
	for (size_t n = 0; n < c->backends_nr; n++)
		if (c->backends[n].host == snapshot->self)
			configure_backend(a, c, &c->backends[n]);
	g_hash_table_foreach_remove(a->backends, is_gone, NULL);
	g_hash_table_iter_init(&i, a->backends);
	while (g_hash_table_iter_next(&i, NULL, &value))
		drain_if_leaving(value);
	bb_adjacent_reply_refused(a);
}

void bb_adjacent_health_changed(struct bb_adjacent *a,
				const struct bb_backend_health *h)
{
	struct adjacent_backend *b =
		g_hash_table_lookup(a->backends, h->backend);

	if (!b)
		return;
	b->admit = h->admit;
	b->avoid_until_us = h->avoid_until_us;
	if (h->admit && h->weight > 0)
		b->weight = h->weight;
	apply_limits(b);
	if (!b->admit)
		bb_queue_drain(b->queue, BB_REASON_EJECTED);
	bb_adjacent_reply_refused(a);
	bb_adjacent_start_queued(b);
}

void bb_adjacent_set_leaving(struct bb_adjacent *a, bool leaving)
{
	GHashTableIter i;
	gpointer value;

	a->host_leaving = leaving;
	g_hash_table_iter_init(&i, a->backends);
	while (g_hash_table_iter_next(&i, NULL, &value))
		drain_if_leaving(value);
	bb_adjacent_reply_refused(a);
}

void bb_adjacent_drain(struct bb_adjacent *a)
{
	GList *all = g_hash_table_get_values(a->backends);

	a->draining = true;
	for (GList *l = all; l; l = l->next) {
		struct adjacent_backend *b = l->data;

		bb_queue_drain(b->queue, BB_REASON_STOPPING);
	}
	bb_adjacent_reply_refused(a);
	g_list_free(all);
}
