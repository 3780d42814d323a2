#include "libnode/host_list.h"

#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/hosts.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/executor.h"

#define READ_TIMEOUT_US (5 * BB_US_PER_S)
/*
 * Bound on the time between reads while they fail. The backoff keeps a service
 * that recovers from getting the reads of all nodes at once.
 */
#define BACKOFF_MAX_US (10 * BB_US_PER_S)

/* Reader of the platform's list; lives on the control thread. */
struct bb_host_list {
	struct bb_host_list_options o;
	struct bb_hosts *hosts;
	struct bb_executor *executor;
	struct bb_snapshot *snapshot;
	/* One byte for each host of the snapshot: 1 if it is leaving. */
	GByteArray *leaving;
	/* The last read failed; only the first failure in a row is logged. */
	bool failing;
};

static bool is_configured(void *data, const char *host)
{
	const struct bb_host_list *l = data;

	return l->snapshot && bb_config_find_host(l->snapshot->config, host,
						  strlen(host)) != BB_NO_ROW;
}

struct bb_host_list *bb_host_list_new(const struct bb_host_list_options *o,
				      struct bb_error *err)
{
	struct bb_host_list *l = g_new0(struct bb_host_list, 1);
	struct bb_hosts_options ho = {
		.random = o->random,
		.period_us = o->period_us,
		.backoff_max_us = BACKOFF_MAX_US,
		.configured = is_configured,
		.data = l,
	};

	l->o = *o;
	l->leaving = g_byte_array_new();
	l->hosts = bb_hosts_new(&ho, bb_clock_now_us());
	l->executor = bb_executor_new(o->context, err);
	if (l->executor)
		return l;
	bb_host_list_delete(l);
	return NULL;
}

static void log_leaving(const char *name, bool leaving)
{
	bb_log_info(BB_LOG_MEMBER, "host %s %s by the platform's list", name,
		    leaving ? "leaves" : "no longer leaves");
}

/* Return: whether the set of leaving configured hosts has changed. */
static bool update_leaving(struct bb_host_list *l, bool log)
{
	const struct bb_config *c = l->snapshot->config;
	uint64_t leaving_nr = 0;
	bool changed = false;

	for (size_t i = 0; i < c->hosts_nr; i++) {
		const char *name = c->hosts[i].name;
		bool leaving = bb_hosts_leaving(l->hosts, name);

		leaving_nr += leaving;
		if (l->leaving->data[i] == leaving)
			continue;
		l->leaving->data[i] = leaving;
		changed = true;
		if (log)
			log_leaving(name, leaving);
	}
	bb_metrics_set(BB_METRIC_HOSTS_LEAVING, leaving_nr);
	return changed;
}

void bb_host_list_configure(struct bb_host_list *l,
			    struct bb_snapshot *snapshot)
{
	struct bb_snapshot *old = l->snapshot;

	l->snapshot = bb_snapshot_ref(snapshot);
	bb_snapshot_put(old);
	g_byte_array_set_size(l->leaving, (guint)snapshot->config->hosts_nr);
	update_leaving(l, false);
}

static void report_failure(struct bb_host_list *l, const char *reason)
{
	bb_metrics_add(BB_METRIC_HOST_LIST_FAILURES, 1);
	if (!l->failing)
		bb_log_warning(
			BB_LOG_MEMBER,
			"read of the platform's list of hosts failed; the "
			"last list, if any, stays in use: %s",
			reason);
	l->failing = true;
}

static void receive_list(struct bb_host_list *l, const struct bb_bytes *body,
			 int64_t now_us)
{
	struct bb_error err = { 0 };

	if (!bb_hosts_update(l->hosts, body->data, body->size, now_us, &err)) {
		l->failing = false;
		bb_metrics_set(BB_METRIC_HOST_LIST_SEQUENCE,
			       bb_hosts_sequence(l->hosts));
		if (l->snapshot && update_leaving(l, true))
			l->o.leaving_changed(l->o.data);
	} else if (err.code != BB_ERROR_STALE) {
		report_failure(l, err.message);
	}
}

static void on_read(void *data, const struct bb_execution_result *r)
{
	struct bb_host_list *l = data;
	int64_t now_us = bb_clock_now_us();
	char reason[64];

	if (r->end == BB_EXECUTION_DONE && r->status == 200) {
		receive_list(l, &r->body, now_us);
	} else if (r->end == BB_EXECUTION_DONE && r->status == 204) {
		l->failing = false;
		bb_hosts_read_unchanged(l->hosts, now_us);
	} else {
		g_snprintf(reason, sizeof(reason), "status %u", r->status);
		bb_hosts_read_failed(l->hosts, now_us);
		report_failure(l, r->end == BB_EXECUTION_DONE ? reason :
								r->detail);
	}
}

void bb_host_list_tick(struct bb_host_list *l, int64_t now_us)
{
	struct bb_execution_request r = {
		.url = l->o.url,
		.method = { "GET", strlen("GET") },
		.timeout_us = READ_TIMEOUT_US,
		.max_body = BB_HOSTS_SIZE_MAX,
	};
	struct bb_error err;
	char target[64];

	if (!bb_hosts_read_due(l->hosts, now_us))
		return;
	g_snprintf(target, sizeof(target), "/v1/hosts?after=%" G_GUINT64_FORMAT,
		   bb_hosts_sequence(l->hosts));
	r.target = (struct bb_bytes){ target, strlen(target) };
	bb_metrics_add(BB_METRIC_HOST_LIST_READS, 1);
	if (bb_executor_start(l->executor, &r, on_read, l, &err))
		return;
	bb_hosts_read_failed(l->hosts, now_us);
	report_failure(l, err.message);
}

bool bb_host_list_leaving(const struct bb_host_list *l, uint32_t host)
{
	return l && host < l->leaving->len && l->leaving->data[host];
}

static json_t *hosts_in_state(const struct bb_host_list *l,
			      enum bb_host_state state)
{
	const struct bb_config *c = l->snapshot->config;
	json_t *a = json_array();

	for (size_t i = 0; i < c->hosts_nr; i++) {
		const char *name = c->hosts[i].name;

		if (state == BB_HOST_LEAVING ?
			    bb_hosts_leaving(l->hosts, name) :
			    bb_hosts_state(l->hosts, name) == state)
			json_array_append_new(a, json_string(name));
	}
	return a;
}

json_t *bb_host_list_status(const struct bb_host_list *l, int64_t now_us)
{
	int64_t read_us;

	if (!l || !l->snapshot)
		return json_null();
	read_us = bb_hosts_last_read_us(l->hosts);
	return json_pack(
		"{s:I, s:o, s:o, s:o}", "sequence",
		(json_int_t)bb_hosts_sequence(l->hosts), "age_ms",
		read_us ? json_integer((now_us - read_us) / BB_US_PER_MS) :
			  json_null(),
		"leaving", hosts_in_state(l, BB_HOST_LEAVING), "dead",
		hosts_in_state(l, BB_HOST_DEAD));
}

void bb_host_list_delete(struct bb_host_list *l)
{
	if (!l)
		return;
	bb_executor_delete(l->executor);
	bb_hosts_delete(l->hosts);
	bb_snapshot_put(l->snapshot);
	g_byte_array_unref(l->leaving);
	g_free(l);
}
