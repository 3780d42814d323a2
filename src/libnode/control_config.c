#include <ck_pr.h>
#include <sodium.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/idempotency.h"
#include "baobabward/lease.h"
#include "baobabward/log.h"
#include "baobabward/member.h"
#include "baobabward/metrics.h"
#include "baobabward/permit.h"
#include "libnode/control_private.h"
#include "libnode/endpoint.h"
#include "libnode/loop.h"
#include "libnode/outbox.h"
#include "libnode/health_monitor.h"

/* Pages that are requested from a peer at once. */
#define PAGE_REQUESTS_MAX 16
#define CONFIG_FILE_PERIOD_US (100 * BB_US_PER_MS)

/* Pages from peers. */

static void request_page(struct bb_control *c, uint32_t host, uint64_t version,
			 const char *name)
{
	struct bb_message m = { .type = BB_MESSAGE_PAGE_REQUEST };

	m.page_request.config_version = version;
	m.page_request.name = (struct bb_bytes){ name, strlen(name) };
	bb_outbox_send(c->outbox, host, &m);
}

void bb_control_newer_version(void *data, uint32_t host, uint64_t version)
{
	struct bb_control *c = data;

	/*
	 * The pages of a feed have another format and no signature that proves
	 * them, so they are not taken from peers. The feed reads again.
	 */
	if (!c->source) {
		if (c->o.feed && c->o.feed->newer_version)
			c->o.feed->newer_version(c->o.feed->data, version);
		return;
	}
	bb_log_info(BB_LOG_CONFIG,
		    "host %s has version %" G_GUINT64_FORMAT
		    "; requesting its pages",
		    bb_control_config(c)->hosts[host].name, version);
	/*
	 * The least version to accept is raised only to a version that a peer
	 * has accepted: a peer that is starting may only have read its version.
	 */
	if (c->o.settings->config_url &&
	    version <= bb_member_highest_version(c->member))
		bb_source_set_min_version(c->source, version);
	request_page(c, host, version, BB_PAGE_INDEX);
}

void bb_control_serve_page(struct bb_control *c, uint32_t host,
			   const struct bb_message_page_request *r)
{
	struct bb_message m = { .type = BB_MESSAGE_PAGE };
	char name[BB_PAGE_NAME_MAX + 1];
	const struct bb_page *p;

	if (!c->source || r->name.size > BB_PAGE_NAME_MAX)
		return;
	memcpy(name, r->name.data, r->name.size);
	name[r->name.size] = '\0';
	p = bb_source_get_page(c->source, r->config_version, name);
	if (!p)
		return;
	m.page.config_version = r->config_version;
	m.page.name = r->name;
	m.page.content = (struct bb_bytes){ p->content, p->size };
	m.page.signature = (struct bb_bytes){ (const char *)p->signature,
					      sizeof(p->signature) };
	bb_control_send(c, host, &m);
}

void bb_control_receive_page(struct bb_control *c, uint32_t host,
			     const struct bb_message_page *m)
{
	const char *missing[PAGE_REQUESTS_MAX];
	struct bb_error err;
	struct bb_page *p;
	char *name;
	size_t nr;

	if (!c->source || m->signature.size != BB_PAGE_SIGNATURE_SIZE)
		return;
	name = g_strndup(m->name.data, m->name.size);
	p = bb_page_new(name, m->content.data, m->content.size,
			(const uint8_t *)m->signature.data);
	g_free(name);
	if (bb_source_offer_page(c->source, p, &err) &&
	    err.code != BB_ERROR_STALE)
		bb_log_warning(BB_LOG_CONFIG,
			       "page from host %s refused and dropped: %s",
			       bb_control_config(c)->hosts[host].name,
			       err.message);
	bb_page_delete(p);
	nr = bb_source_missing_pages(c->source, missing, PAGE_REQUESTS_MAX);
	for (size_t i = 0; i < nr; i++)
		request_page(c, host, m->config_version, missing[i]);
	bb_control_perform_source(c);
}

/* Acceptance of a configuration. */

/*
 * Restarts the agreement on the automation switch unless the switch is known to
 * be unchanged: a version that was skipped may have had the other value.
 */
static void reset_automation_agreement(struct bb_control *c,
				       const struct bb_config *old)
{
	const struct bb_config *g = bb_control_config(c);

	if (old && old->automation == g->automation &&
	    old->version + 1 == g->version)
		return;
	c->automation_version = g->version;
	c->automation_agreed_since_us = 0;
}

void bb_control_update_agreed(struct bb_control *c, int64_t now_us)
{
	/*
	 * A node that hears of a newer version before it has received it is not
	 * current until then. A gap of at most BB_PERMIT_AGREEMENT_GAP_US does
	 * not end the agreement, because nothing that depends on it can both
	 * begin and end in that time.
	 */
	if (now_us - c->automation_agreed_at_us > BB_PERMIT_AGREEMENT_GAP_US)
		c->automation_agreed_since_us = 0;
	c->automation_agreed =
		bb_member_current(c->member, now_us) &&
		bb_member_quorum_accepted(c->member, c->automation_version);
	if (!c->automation_agreed)
		return;
	if (!c->automation_agreed_since_us)
		c->automation_agreed_since_us = now_us;
	c->automation_agreed_at_us = now_us;
}

void bb_control_configure_modules(struct bb_control *c, int64_t now_us)
{
	const struct bb_config *g = bb_control_config(c);
	struct bb_lease_map *old = c->map;

	/* First, because the permits ask it which new hosts are leaving. */
	bb_control_configure_host_list(c);
	c->map = old && bb_lease_map_fits(old, g) ?
			 bb_lease_map_ref(old) :
			 bb_lease_map_new(g, !c->o.feed);
	bb_lender_set_config(c->lender, g, c->map, now_us);
	bb_holder_set_config(c->holder, g, c->map, now_us);
	bb_grantor_set_config(c->grantor, g, c->map, now_us);
	bb_drawer_set_config(c->drawer, g, c->map, now_us);
	bb_records_configure(c->records, bb_lease_map_seats(c->map),
			     g->idempotency_window_ms * BB_US_PER_MS, now_us);
	bb_permits_set_self(c->permits, c->snapshot->self);
	bb_permits_set_config(c->permits, g, now_us);
	bb_health_monitor_configure(c->health_monitor, c->snapshot, now_us);
	bb_health_monitor_set_leaving(
		c->health_monitor,
		bb_control_host_leaving(c, c->snapshot->self), now_us);
	bb_lease_map_unref(old);
}

static uint64_t count_evacuated(const struct bb_config *c)
{
	uint64_t n = 0;

	for (size_t i = 0; i < c->hosts_nr; i++)
		n += c->hosts[i].evacuated;
	return n;
}

static void report_in_force(const struct bb_control *c)
{
	uint64_t version = bb_control_config(c)->version;

	bb_metrics_set(BB_METRIC_HOSTS_EVACUATED,
		       count_evacuated(bb_control_config(c)));
	bb_metrics_set(BB_METRIC_CONFIG_VERSION, version);
	bb_metrics_set(BB_METRIC_CONFIG_ROWS_REFUSED,
		       bb_control_config(c)->refusals_nr);
	bb_log_info(BB_LOG_CONFIG, "version %" G_GUINT64_FORMAT " is in force",
		    version);
}

void bb_control_check_in_force(struct bb_control *c, int64_t now_us)
{
	if (c->config_in_force || !bb_member_in_force(c->member))
		return;
	if (c->relay)
		bb_relay_set_config(c->relay, bb_control_config(c));
	bb_control_configure_modules(c, now_us);
	ck_pr_store_uint(&c->config_in_force, 1);
	report_in_force(c);
	c->o.config_in_force(c->o.data);
}

static void apply_snapshot(struct bb_control *c, struct bb_snapshot *snapshot)
{
	struct bb_snapshot *old = c->snapshot;
	int64_t now_us = bb_clock_now_us();
	struct bb_error err;

	c->snapshot = snapshot;
	if (!c->started)
		goto out;
	if (bb_endpoint_configure(c->endpoint, bb_control_config(c), true,
				  &err) ||
	    bb_member_update(c->member, bb_control_config(c), now_us, &err))
		bb_log_warning(
			BB_LOG_MEMBER,
			"cannot update peers to the new configuration: %s",
			err.message);
	bb_outbox_set_self(c->outbox, snapshot->self);
	if (c->relay)
		bb_relay_set_config(c->relay, bb_control_config(c));
	if (c->config_in_force)
		bb_control_configure_modules(c, now_us);
	bb_control_publish_current(c);
out:
	/*
	 * After the modules were configured, because permits then look at the
	 * agreement on the former value of the switch.
	 */
	reset_automation_agreement(c, old ? old->config : NULL);
	bb_snapshot_put(old);
	bb_control_memory_changed(c, now_us);
	c->o.config_changed(c->o.data, snapshot);
	if (c->config_in_force)
		bb_control_publish_leaving(c);
}

static void on_accepted(void *data, struct bb_config *g)
{
	struct bb_control *c = data;
	uint64_t version = g->version;

	if (!bb_snapshots_swap(c->o.snapshots, g)) {
		bb_metrics_add(BB_METRIC_CONFIG_REFUSED, 1);
		return;
	}
	apply_snapshot(c, bb_snapshots_get(c->o.snapshots));
	if (c->config_in_force)
		report_in_force(c);
	else
		bb_log_info(BB_LOG_CONFIG,
			    "version %" G_GUINT64_FORMAT
			    " comes in force when a quorum of hosts knows of "
			    "no newer one",
			    version);
}

static gboolean on_source_timer(gpointer data)
{
	struct bb_control *c = data;

	bb_loop_remove(&c->source_timer);
	bb_control_perform_source(c);
	return G_SOURCE_REMOVE;
}

static gboolean on_source_fd(gint fd, GIOCondition condition, gpointer data)
{
	(void)fd;
	(void)condition;
	bb_control_perform_source(data);
	return G_SOURCE_CONTINUE;
}

static void update_source_status(struct bb_control *c)
{
	const struct bb_source_status *s = bb_source_status(c->source);
	uint64_t refused = bb_metrics_get(BB_METRIC_CONFIG_REFUSED);

	if (s->versions_refused > refused) {
		bb_metrics_add(BB_METRIC_CONFIG_REFUSED,
			       s->versions_refused - refused);
		bb_log_warning(BB_LOG_CONFIG, "configuration refused: %s",
			       s->reason);
	}
	bb_metrics_set(BB_METRIC_CONFIG_READS, s->reads);
	if (c->member && s->latest_confirmed_us)
		bb_member_note_service_read(c->member, s->version,
					    s->latest_confirmed_us);
}

void bb_control_perform_source(struct bb_control *c)
{
	int64_t now_us = bb_clock_now_us();
	int64_t next_us;

	if (!c->source)
		return;
	next_us = bb_source_perform(c->source, now_us);

	update_source_status(c);
	bb_loop_remove(&c->source_timer);
	if (next_us != INT64_MAX)
		c->source_timer = bb_loop_add_timeout(
			c->o.context, next_us - now_us, on_source_timer, c);
}

static int start_feed(struct bb_control *c, struct bb_error *err)
{
	struct bb_feed_target to = {
		.context = c->o.context,
		.accept = on_accepted,
		.relay = c->relay,
		.node = c,
	};

	return c->o.feed->start(c->o.feed->data, &to, err);
}

int bb_control_start_source(struct bb_control *c, struct bb_error *err)
{
	const struct bb_settings *s = c->o.settings;
	struct bb_source_options o;

	if (c->o.feed)
		return start_feed(c, err);

	bb_source_options_init(&o);
	o.url = s->config_url;
	o.path = s->config_file;
	o.random = c->random;
	/*
	 * A watch lasts 2/5 of the time for which a read is fresh, so that two
	 * watches end before the read of the first one is stale.
	 */
	o.watch_us = s->freshness_ms * BB_US_PER_MS * 2 / 5;
	o.file_period_us = CONFIG_FILE_PERIOD_US;
	o.on_accepted = on_accepted;
	o.context = c;
	/* The check of the settings has made sure of 64 hexadecimal digits. */
	if (s->config_public_key)
		sodium_hex2bin(o.public_key, sizeof(o.public_key),
			       s->config_public_key,
			       strlen(s->config_public_key), NULL, NULL, NULL);
	c->source = bb_source_new(&o, err);
	if (!c->source)
		return -1;
	c->source_fd_watch = bb_loop_add_fd(c->o.context,
					    bb_source_fd(c->source), G_IO_IN,
					    on_source_fd, c);
	return 0;
}
