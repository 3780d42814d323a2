/*
 * Use of the platform's list of hosts on the control thread: passes the leaving
 * hosts on to the permits, the health monitor and the traffic thread.
 */
#include "baobabward/clock.h"
#include "baobabward/permit.h"
#include "libnode/control_private.h"
#include "libnode/host_list.h"
#include "libnode/health_monitor.h"

bool bb_control_host_leaving(void *data, uint32_t host)
{
	const struct bb_control *c = data;

	return bb_host_list_leaving(c->host_list, host);
}

void bb_control_publish_leaving(struct bb_control *c)
{
	const struct bb_config *g = bb_control_config(c);
	GHashTable *names;

	if (!c->host_list)
		return;
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (uint32_t i = 0; i < g->hosts_nr; i++)
		if (bb_control_host_leaving(c, i))
			g_hash_table_add(names, g_strdup(g->hosts[i].name));
	c->o.leaving_changed(c->o.data, names);
}

static void on_leaving_changed(void *data)
{
	struct bb_control *c = data;
	int64_t now_us = bb_clock_now_us();

	/* A leaving host is lost capacity, so fewer ejections are allowed. */
	bb_permits_set_config(c->permits, bb_control_config(c), now_us);
	bb_health_monitor_set_leaving(
		c->health_monitor,
		bb_control_host_leaving(c, c->snapshot->self), now_us);
	bb_control_publish_leaving(c);
}

void bb_control_configure_host_list(struct bb_control *c)
{
	if (c->host_list)
		bb_host_list_configure(c->host_list, c->snapshot);
}

int bb_control_start_host_list(struct bb_control *c, struct bb_error *err)
{
	const struct bb_settings *s = c->o.settings;
	struct bb_host_list_options o = {
		.context = c->o.context,
		.url = s->config_url,
		.period_us = s->host_list_ms * BB_US_PER_MS,
		.random = c->random,
		.leaving_changed = on_leaving_changed,
		.data = c,
	};

	if (!s->config_url || !s->host_list_ms)
		return 0;
	c->host_list = bb_host_list_new(&o, err);
	return c->host_list ? 0 : -1;
}
