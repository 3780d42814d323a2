/* Changes of the configuration while calls are in progress. */
#include "libnode/entry_private.h"

#include <string.h>

#include "baobabward/clock.h"

static uint32_t rebind_backend(uint32_t backend, const struct bb_snapshot *old,
			       const struct bb_snapshot *new)
{
	const char *name;

	if (backend == BB_NO_ROW)
		return BB_NO_ROW;
	name = old->config->backends[backend].name;
	return bb_config_find_backend(new->config, name, strlen(name));
}

/* Handles refer to the tables of the old snapshot, so look them up again. */
static void rebind_attempt(struct bb_attempts *t, const struct bb_snapshot *old,
			   const struct bb_snapshot *new)
{
	const struct bb_host *h;

	for (uint32_t i = 0; i < t->history.nr; i++)
		t->history.backends[i] =
			rebind_backend(t->history.backends[i], old, new);
	if (!t->history.nr)
		return;
	t->backend = rebind_backend(t->backend, old, new);
	if (t->host == BB_NO_ROW)
		return;
	h = &old->config->hosts[t->host];
	t->host = bb_config_find_host(new->config, h->name, strlen(h->name));
	/*
	 * Without its backend server, a request that still waits for a session
	 * is not sent; its timer ends the wait.
	 */
	if (t->backend == BB_NO_ROW && !t->local)
		t->host = BB_NO_ROW;
}

void bb_entry_free_balances(struct bb_balance **balances, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		bb_balance_delete(balances[i]);
	g_free(balances);
}

static struct bb_balance *previous_balance(const struct bb_entry *e,
					   const struct bb_snapshot *old,
					   const char *name)
{
	uint32_t service;

	if (!old)
		return NULL;
	service = bb_config_find_service(old->config, name, strlen(name));
	return service == BB_NO_ROW ? NULL : e->balances[service];
}

/* Services that remain keep the tokens saved up in their retry budget. */
static void rebuild_budgets(struct bb_entry *e, const struct bb_snapshot *old)
{
	const struct bb_config *c = e->snapshot->config;
	struct bb_retry_budget *next =
		g_new0(struct bb_retry_budget, c->services_nr);
	struct bb_retry_limits limits = bb_retry_limits_default();
	struct bb_retry_fleet_limits fleet = {
		.percent = e->o.retry_percent,
		.slack = e->o.retry_slack,
		.window_us = e->o.retry_window_us,
		.hosts = MAX(1, c->hosts_nr),
	};

	if (e->o.retry_slack)
		limits = bb_retry_limits_of_fleet(&fleet);
	for (size_t i = 0; i < c->services_nr; i++) {
		const char *name = c->services[i].name;
		uint32_t old_service = BB_NO_ROW;

		if (old)
			old_service = bb_config_find_service(old->config, name,
							     strlen(name));
		if (old_service == BB_NO_ROW)
			bb_retry_budget_init(&next[i], &limits,
					     bb_clock_now_us());
		else
			next[i] = e->retry_budgets[old_service];
		next[i].limits = limits;
		next[i].tokens = MIN(next[i].tokens, limits.max_tokens);
	}
	g_free(e->retry_budgets);
	e->retry_budgets = next;
}

/* Paths in use stay valid, and their load estimates are carried over. */
static void rebuild_balances(struct bb_entry *e, const struct bb_snapshot *old)
{
	const struct bb_config *c = e->snapshot->config;
	uint32_t self = e->snapshot->self;
	struct bb_balance **next = g_new0(struct bb_balance *, c->services_nr);

	for (size_t i = 0; i < c->services_nr; i++) {
		struct bb_balance_options o = {
			.config = c,
			.service = (uint32_t)i,
			.zone_id = self == BB_NO_ROW ? UINT32_MAX :
						       c->hosts[self].zone_id,
			.zone_penalty = -1,
			.local_max_load = e->o.local_percent / 100.0,
			.subset = self == BB_NO_ROW ? 0 : e->o.subset,
			.self = self == BB_NO_ROW ? NULL : c->hosts[self].name,
			.stale_us = e->o.report_stale_us,
			.seed = e->o.incarnation + i,
			.previous =
				previous_balance(e, old, c->services[i].name),
		};

		next[i] = bb_balance_new(&o);
	}
	bb_entry_free_balances(e->balances, e->balances_nr);
	e->balances = next;
	e->balances_nr = c->services_nr;
}

static void apply_leaving(struct bb_entry *e)
{
	const struct bb_config *c = e->snapshot->config;

	for (size_t i = 0; e->leaving_hosts && i < c->backends_nr; i++) {
		const struct bb_backend *b = &c->backends[i];

		bb_balance_set_leaving(
			e->balances[b->service], b->host,
			g_hash_table_contains(e->leaving_hosts,
					      c->hosts[b->host].name));
	}
}

/* What backend servers said before they left the configuration still holds; one
 * that has started again has said nothing. */
static void apply_notices(struct bb_entry *e)
{
	const struct bb_config *c = e->snapshot->config;

	for (size_t i = 0; e->o.notices && i < c->backends_nr; i++) {
		const struct bb_backend *b = &c->backends[i];
		struct bb_path *path =
			bb_balance_path(e->balances[b->service], (uint32_t)i);

		if (path)
			bb_path_set_leaving(path, bb_notices_is_leaving(
							  e->o.notices, b->name,
							  b->started_ms));
	}
}

void bb_entry_set_leaving(struct bb_entry *e, GHashTable *hosts)
{
	if (e->leaving_hosts)
		g_hash_table_unref(e->leaving_hosts);
	e->leaving_hosts = hosts;
	apply_leaving(e);
}

void bb_entry_configure(struct bb_entry *e, struct bb_snapshot *snapshot)
{
	struct bb_snapshot *old = e->snapshot;
	GHashTableIter i;
	gpointer t;

	e->snapshot = bb_snapshot_ref(snapshot);
	g_hash_table_iter_init(&i, e->calls);
	while (old && g_hash_table_iter_next(&i, &t, NULL))
		rebind_attempt(t, old, e->snapshot);
	rebuild_budgets(e, old);
	rebuild_balances(e, old);
	bb_backend_view_configure(e->view, e->snapshot->config);
	bb_entry_carry_over_paths(e, old);
	/* A backend server may have moved to another host. */
	apply_leaving(e);
	apply_notices(e);
	bb_snapshot_put(old);
}
