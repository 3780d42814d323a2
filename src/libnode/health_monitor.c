#include "libnode/health_monitor.h"

#include <math.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/executor.h"

#define PROBE_TIMEOUT_US (1 * BB_US_PER_S)
#define PROBE_BODY_MAX 65536u
/* Summaries in one reply, one for each route class of a backend server. */
#define SUMMARIES_MAX 128
/* Smaller changes of the weight are not reported. */
#define WEIGHT_CHANGE_MIN 0.1
/* Smaller changes of avoid_until_us are not reported. */
#define AVOID_CHANGE_MIN_US (500 * BB_US_PER_MS)

/*
 * Health of a backend server as last reported, with the fields of
 * struct bb_backend_health.
 */
struct reported_health {
	enum bb_health_state state;
	bool admit;
	int64_t avoid_until_us;
	double weight;
};

/* Health monitor of one host; lives on the control thread. */
struct bb_health_monitor {
	struct bb_health_monitor_options o;
	struct bb_health *health;
	struct bb_executor *executor;
	struct bb_snapshot *snapshot;
	/* struct reported_health by name of the backend server. */
	GHashTable *reported;
	/* Set of the probes in flight. */
	GHashTable *probes;
};

/* A probe in flight. The name stays valid when the configuration changes. */
struct probe {
	struct bb_health_monitor *monitor;
	char *backend;
	double started_ms;
};

static void free_probe(void *data)
{
	struct probe *p = data;

	g_free(p->backend);
	g_free(p);
}

struct bb_health_monitor *
bb_health_monitor_new(const struct bb_health_monitor_options *o,
		      struct bb_error *err)
{
	struct bb_health_monitor *hm = g_new0(struct bb_health_monitor, 1);

	hm->o = *o;
	hm->executor = bb_executor_new(o->context, err);
	if (!hm->executor) {
		g_free(hm);
		return NULL;
	}
	hm->probes = g_hash_table_new_full(NULL, NULL, free_probe, NULL);
	hm->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return hm;
}

static const struct bb_config *config(const struct bb_health_monitor *hm)
{
	return hm->snapshot->config;
}

void bb_health_monitor_configure(struct bb_health_monitor *hm,
				 struct bb_snapshot *snapshot, int64_t now_us)
{
	struct bb_snapshot *old = hm->snapshot;
	struct bb_health_options o = {
		.host = snapshot->self,
		.permit_until = bb_permits_acquire_or_release,
		.data = hm->o.permits,
		.observe_only = hm->o.observe_only,
		.trial_probes_only = hm->o.trial_probes_only,
	};

	/*
	 * The handle of this host can change with the configuration, and the
	 * health module keeps the one that it was created with.
	 */
	if (hm->health && old->self != snapshot->self) {
		bb_health_delete(hm->health);
		hm->health = NULL;
	}
	if (!hm->health)
		hm->health = bb_health_new(&o);
	hm->snapshot = bb_snapshot_ref(snapshot);
	bb_snapshot_put(old);
	bb_health_set_config(hm->health, config(hm), now_us);
}

void bb_health_monitor_set_leaving(struct bb_health_monitor *hm, bool leaving,
				   int64_t now_us)
{
	bb_health_set_leaving(hm->health, leaving, now_us);
}

void bb_health_monitor_observe(struct bb_health_monitor *hm,
			       struct bb_observation *o, int64_t now_us)
{
	o->outcome.backend = bb_config_find_backend(config(hm), o->backend,
						    strlen(o->backend));
	/* The outcome of a request to a former process says nothing of the next
	 * one. */
	if (o->outcome.backend != BB_NO_ROW &&
	    config(hm)->backends[o->outcome.backend].started_ms ==
		    o->started_ms)
		bb_health_observe(hm->health, &o->outcome, now_us);
	g_free(o->backend);
	g_free(o);
}

static enum bb_outcome_kind probe_kind(const struct bb_execution_result *r)
{
	switch (r->end) {
	case BB_EXECUTION_NOT_SENT:
		return BB_OUTCOME_CONNECT_FAILURE;
	case BB_EXECUTION_TIMEOUT:
		return BB_OUTCOME_TIMEOUT;
	case BB_EXECUTION_DONE:
		if (r->status == 503)
			return BB_OUTCOME_SHED;
		return r->status >= 500 ? BB_OUTCOME_ERROR : BB_OUTCOME_OK;
	default:
		return BB_OUTCOME_TRUNCATED;
	}
}

static void on_probed(void *data, const struct bb_execution_result *r)
{
	struct probe *p = data;
	struct bb_observation *o = g_new0(struct bb_observation, 1);

	o->backend = g_strdup(p->backend);
	o->started_ms = p->started_ms;
	o->outcome.class_id = BB_HEALTH_CLASS_PROBE;
	o->outcome.account = BB_HEALTH_NO_ACCOUNT;
	o->outcome.kind = probe_kind(r);
	o->outcome.latency_us = r->latency_us;
	o->outcome.new_connection = true;
	bb_health_monitor_observe(p->monitor, o, bb_clock_now_us());
	g_hash_table_remove(p->monitor->probes, p);
}

static void send_probe(struct bb_health_monitor *hm, uint32_t backend)
{
	const struct bb_backend *b = &config(hm)->backends[backend];
	const char *path = config(hm)->services[b->service].health_path;
	struct bb_execution_request r = {
		.url = b->url,
		.target = { path, strlen(path) },
		.method = { "GET", strlen("GET") },
		.timeout_us = PROBE_TIMEOUT_US,
		.max_body = PROBE_BODY_MAX,
		.at_most_once = true,
	};
	struct probe *p = g_new0(struct probe, 1);
	struct bb_error err;

	p->monitor = hm;
	p->backend = g_strdup(b->name);
	p->started_ms = b->started_ms;
	if (bb_executor_start(hm->executor, &r, on_probed, p, &err))
		g_hash_table_add(hm->probes, p);
	else
		free_probe(p);
}

static void log_state(struct bb_health_monitor *hm, uint32_t backend,
		      enum bb_health_state from, enum bb_health_state to)
{
	const char *name = config(hm)->backends[backend].name;

	bb_log(BB_LOG_HEALTH, G_LOG_LEVEL_INFO, NULL, "%s is %s, was %s: %s",
	       name, bb_health_state_string[to], bb_health_state_string[from],
	       bb_health_reason(hm->health, backend));
	if (to == BB_HEALTH_EJECTED)
		bb_metrics_add(BB_METRIC_EJECTIONS, 1);
	if (to == BB_HEALTH_RAMPING && from == BB_HEALTH_TRIAL)
		bb_metrics_add(BB_METRIC_READMISSIONS, 1);
}

static struct reported_health *find_reported(struct bb_health_monitor *hm,
					     const char *name)
{
	struct reported_health *r = g_hash_table_lookup(hm->reported, name);

	if (r)
		return r;
	r = g_new0(struct reported_health, 1);
	r->state = BB_HEALTH_OK;
	r->admit = true;
	r->weight = 1.0;
	g_hash_table_insert(hm->reported, g_strdup(name), r);
	return r;
}

/*
 * Reports the health of a backend server if it has changed. In the trial state
 * only probes are sent and no requests: the traffic thread decides on requests
 * by the last report, so it cannot admit single trial requests.
 */
static void report(struct bb_health_monitor *hm, uint32_t backend,
		   int64_t now_us)
{
	const char *name = config(hm)->backends[backend].name;
	struct reported_health *old = find_reported(hm, name);
	struct reported_health s = {
		.state = bb_health_state(hm->health, backend, now_us),
		.weight = bb_health_weight(hm->health, backend, now_us),
	};
	int64_t avoid_us = bb_health_avoid_for_us(hm->health, backend, now_us);
	struct bb_backend_health *g;

	s.admit = s.state != BB_HEALTH_EJECTED && s.state != BB_HEALTH_TRIAL;
	s.avoid_until_us = avoid_us ? now_us + avoid_us : 0;
	if (s.state != old->state)
		log_state(hm, backend, old->state, s.state);
	old->state = s.state;
	if (s.admit == old->admit &&
	    fabs(s.weight - old->weight) < WEIGHT_CHANGE_MIN &&
	    llabs(s.avoid_until_us - old->avoid_until_us) < AVOID_CHANGE_MIN_US)
		return;
	*old = s;
	g = g_new0(struct bb_backend_health, 1);
	g->backend = g_strdup(name);
	g->admit = s.admit;
	g->avoid_until_us = s.avoid_until_us;
	g->weight = s.weight;
	hm->o.health_changed(hm->o.data, g);
}

static struct bb_bytes backend_name(const struct bb_health_monitor *hm,
				    uint32_t backend)
{
	const char *name = config(hm)->backends[backend].name;

	return (struct bb_bytes){ name, strlen(name) };
}

/*
 * Requests pool summaries from the nodes of the other backend servers of a
 * service, because a backend server is slow only in comparison with its pool.
 */
static void request_summaries(struct bb_health_monitor *hm, int64_t now_us)
{
	uint32_t due;

	while ((due = bb_health_summary_due(hm->health, now_us)) != BB_NO_ROW) {
		struct bb_message m = { .type = BB_MESSAGE_SUMMARY_REQUEST };

		m.summary_request.backend = backend_name(hm, due);
		hm->o.send(hm->o.send_data, config(hm)->backends[due].host, &m);
	}
}

static void answer_summary_request(struct bb_health_monitor *hm, uint32_t from,
				   const struct bb_message_summary_request *r,
				   int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_SUMMARY };
	struct bb_pool_summary own[SUMMARIES_MAX];
	struct bb_summary_item items[SUMMARIES_MAX];
	uint32_t b = bb_config_find_backend(config(hm), r->backend.data,
					    r->backend.size);
	size_t nr;

	if (b == BB_NO_ROW ||
	    config(hm)->backends[b].host != hm->snapshot->self)
		return;
	nr = bb_health_pool_summary(hm->health, config(hm)->backends[b].service,
				    own, SUMMARIES_MAX, now_us);
	for (size_t i = 0; i < nr; i++)
		items[i] = (struct bb_summary_item){
			backend_name(hm, own[i].backend),
			own[i].class_id,
			own[i].samples,
			own[i].error_permille,
			own[i].median_us,
			own[i].spread_us,
			own[i].recent_age_ms,
		};
	m.summary.items = items;
	m.summary.items_nr = nr;
	hm->o.send(hm->o.send_data, from, &m);
}

static void receive_summary(struct bb_health_monitor *hm, uint32_t from,
			    const struct bb_summary_item *item, int64_t now_us)
{
	struct bb_pool_summary s = {
		.backend = bb_config_find_backend(
			config(hm), item->backend.data, item->backend.size),
		.class_id = item->class_id,
		.samples = item->samples,
		.error_permille = item->error_permille,
		.median_us = item->median_us,
		.spread_us = item->spread_us,
		.recent_age_ms = item->recent_age_ms,
	};

	/* Only the adjacent node of a backend server may report on it. */
	if (s.backend == BB_NO_ROW ||
	    config(hm)->backends[s.backend].host != from ||
	    s.class_id >= BB_HEALTH_CLASSES || s.error_permille > 1000)
		return;
	bb_health_set_pool_summary(hm->health, &s, now_us);
}

void bb_health_monitor_receive(struct bb_health_monitor *hm, uint32_t from,
			       const struct bb_message *m, int64_t now_us)
{
	if (m->type == BB_MESSAGE_SUMMARY_REQUEST)
		answer_summary_request(hm, from, &m->summary_request, now_us);
	for (size_t i = 0;
	     m->type == BB_MESSAGE_SUMMARY && i < m->summary.items_nr; i++)
		receive_summary(hm, from, &m->summary.items[i], now_us);
}

void bb_health_monitor_tick(struct bb_health_monitor *hm, int64_t now_us)
{
	uint32_t due;

	bb_health_tick(hm->health, now_us);
	request_summaries(hm, now_us);
	while ((due = bb_health_probe_due(hm->health, now_us)) != BB_NO_ROW)
		send_probe(hm, due);
	for (size_t i = 0; i < config(hm)->backends_nr; i++)
		if (config(hm)->backends[i].host == hm->snapshot->self)
			report(hm, (uint32_t)i, now_us);
}

/* The last action that was withheld because automation is off. */
static json_t *withheld_json(struct bb_health_monitor *hm, uint32_t backend,
			     int64_t now_us)
{
	const struct bb_health_withheld_action *list;
	size_t nr;

	list = bb_health_withheld_actions(hm->health, &nr);
	for (size_t i = nr; i-- > 0;)
		if (list[i].backend == backend)
			return json_pack("{s:s, s:s, s:I}", "state",
					 bb_health_state_string[list[i].state],
					 "reason", list[i].reason, "age_ms",
					 (json_int_t)((now_us - list[i].at_us) /
						      BB_US_PER_MS));
	return json_null();
}

json_t *bb_health_monitor_status(struct bb_health_monitor *hm, int64_t now_us)
{
	json_t *a = json_array();

	for (size_t i = 0; i < config(hm)->backends_nr; i++) {
		uint32_t b = (uint32_t)i;

		if (config(hm)->backends[i].host != hm->snapshot->self)
			continue;
		json_array_append_new(
			a, json_pack("{s:s, s:s, s:s, s:o}", "name",
				     config(hm)->backends[i].name, "state",
				     bb_health_state_string[bb_health_state(
					     hm->health, b, now_us)],
				     "reason", bb_health_reason(hm->health, b),
				     "would", withheld_json(hm, b, now_us)));
	}
	return a;
}

void bb_health_monitor_delete(struct bb_health_monitor *hm)
{
	if (!hm)
		return;
	bb_executor_delete(hm->executor);
	bb_health_delete(hm->health);
	bb_snapshot_put(hm->snapshot);
	g_hash_table_destroy(hm->reported);
	g_hash_table_destroy(hm->probes);
	g_free(hm);
}
