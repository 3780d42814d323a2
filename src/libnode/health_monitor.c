#include "libnode/health_monitor.h"

#include <math.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/executor.h"

#define PROBE_TIMEOUT_US (1 * BB_US_PER_S)
#define PROBE_BODY_MAX 65536u
/* Summaries in one answer: route classes of a host's backend servers. */
#define SUMMARIES_MAX 128
/* Smaller changes of the weight are not passed on. */
#define WEIGHT_STEP 0.1
/* A hint is passed on again when its end moved by more than this. */
#define HINT_STEP_US (500 * BB_US_PER_MS)

struct gate_state {
	enum bb_health_state state;
	bool admit;
	int64_t avoid_until_us;
	double weight;
};

struct bb_health_monitor {
	struct bb_health_monitor_options o;
	struct bb_health *health;
	struct bb_executor *executor;
	struct bb_snapshot *snapshot;
	GHashTable *gates;
	GHashTable *probes;
};

struct probe {
	struct bb_health_monitor *watch;
	char *backend;
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
	struct bb_health_monitor *w = g_new0(struct bb_health_monitor, 1);

	w->o = *o;
	w->executor = bb_executor_new(o->context, err);
	if (!w->executor) {
		g_free(w);
		return NULL;
	}
	w->probes = g_hash_table_new_full(NULL, NULL, free_probe, NULL);
	w->gates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

static const struct bb_config *config(const struct bb_health_monitor *w)
{
	return w->snapshot->config;
}

void bb_health_monitor_configure(struct bb_health_monitor *w,
				 struct bb_snapshot *snapshot, int64_t now_us)
{
	struct bb_snapshot *old = w->snapshot;
	struct bb_health_options o = {
		.host = snapshot->self,
		.permit_until = bb_permits_acquire_or_release,
		.data = w->o.permits,
		.observe_only = w->o.observe_only,
		.trial_probes_only = w->o.trial_probes_only,
	};

	/* Handles of hosts can change, and the object keeps its own. */
	if (w->health && old->self != snapshot->self) {
		bb_health_delete(w->health);
		w->health = NULL;
	}
	if (!w->health)
		w->health = bb_health_new(&o);
	w->snapshot = bb_snapshot_ref(snapshot);
	bb_snapshot_put(old);
	bb_health_set_config(w->health, config(w), now_us);
}

void bb_health_monitor_set_leaving(struct bb_health_monitor *w, bool leaving,
				   int64_t now_us)
{
	bb_health_set_leaving(w->health, leaving, now_us);
}

void bb_health_monitor_observe(struct bb_health_monitor *w,
			       struct bb_observation *o, int64_t now_us)
{
	o->outcome.backend = bb_config_find_backend(config(w), o->backend,
						    strlen(o->backend));
	if (o->outcome.backend != BB_NO_ROW)
		bb_health_observe(w->health, &o->outcome, now_us);
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
	o->outcome.class_id = BB_HEALTH_CLASS_PROBE;
	o->outcome.account = BB_HEALTH_NO_ACCOUNT;
	o->outcome.kind = probe_kind(r);
	o->outcome.latency_us = r->latency_us;
	o->outcome.new_connection = true;
	bb_health_monitor_observe(p->watch, o, bb_clock_now_us());
	g_hash_table_remove(p->watch->probes, p);
}

static void send_probe(struct bb_health_monitor *w, uint32_t backend)
{
	const struct bb_backend *b = &config(w)->backends[backend];
	const char *path = config(w)->services[b->service].health_path;
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

	p->watch = w;
	p->backend = g_strdup(b->name);
	if (bb_executor_start(w->executor, &r, on_probed, p, &err))
		g_hash_table_add(w->probes, p);
	else
		free_probe(p);
}

static void log_state(struct bb_health_monitor *w, uint32_t backend,
		      enum bb_health_state from, enum bb_health_state to)
{
	const char *name = config(w)->backends[backend].name;

	bb_log(BB_LOG_HEALTH, G_LOG_LEVEL_INFO, NULL, "%s is %s, was %s: %s",
	       name, bb_health_state_string[to], bb_health_state_string[from],
	       bb_health_reason(w->health, backend));
	if (to == BB_HEALTH_EJECTED)
		bb_metrics_add(BB_METRIC_EJECTIONS, 1);
	if (to == BB_HEALTH_RAMPING && from == BB_HEALTH_TRIAL)
		bb_metrics_add(BB_METRIC_READMISSIONS, 1);
}

static struct gate_state *find_gate(struct bb_health_monitor *w,
				    const char *name)
{
	struct gate_state *g = g_hash_table_lookup(w->gates, name);

	if (g)
		return g;
	g = g_new0(struct gate_state, 1);
	g->state = BB_HEALTH_OK;
	g->admit = true;
	g->weight = 1.0;
	g_hash_table_insert(w->gates, g_strdup(name), g);
	return g;
}

/*
 * In the trial state only probes are sent: the traffic thread decides on
 * requests by what was published before and cannot count single trials.
 */
static void publish(struct bb_health_monitor *w, uint32_t backend,
		    int64_t now_us)
{
	const char *name = config(w)->backends[backend].name;
	struct gate_state *old = find_gate(w, name);
	struct gate_state s = {
		.state = bb_health_state(w->health, backend, now_us),
		.weight = bb_health_weight(w->health, backend, now_us),
	};
	int64_t avoid_us = bb_health_avoid_for_us(w->health, backend, now_us);
	struct bb_backend_health *g;

	s.admit = s.state != BB_HEALTH_EJECTED && s.state != BB_HEALTH_TRIAL;
	s.avoid_until_us = avoid_us ? now_us + avoid_us : 0;
	if (s.state != old->state)
		log_state(w, backend, old->state, s.state);
	old->state = s.state;
	if (s.admit == old->admit &&
	    fabs(s.weight - old->weight) < WEIGHT_STEP &&
	    llabs(s.avoid_until_us - old->avoid_until_us) < HINT_STEP_US)
		return;
	*old = s;
	g = g_new0(struct bb_backend_health, 1);
	g->backend = g_strdup(name);
	g->admit = s.admit;
	g->avoid_until_us = s.avoid_until_us;
	g->weight = s.weight;
	w->o.health_changed(w->o.data, g);
}

static struct bb_bytes backend_name(const struct bb_health_monitor *w,
				    uint32_t backend)
{
	const char *name = config(w)->backends[backend].name;

	return (struct bb_bytes){ name, strlen(name) };
}

/* The pool is the reference of what is slow, so other members are asked. */
static void ask_summaries(struct bb_health_monitor *w, int64_t now_us)
{
	uint32_t due;

	while ((due = bb_health_summary_due(w->health, now_us)) != BB_NO_ROW) {
		struct bb_message m = { .type = BB_MESSAGE_SUMMARY_REQUEST };

		m.summary_request.backend = backend_name(w, due);
		w->o.send(w->o.send_data, config(w)->backends[due].host, &m);
	}
}

static void answer_summary(struct bb_health_monitor *w, uint32_t from,
			   const struct bb_message_summary_request *r,
			   int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_SUMMARY };
	struct bb_pool_summary own[SUMMARIES_MAX];
	struct bb_summary_item items[SUMMARIES_MAX];
	uint32_t b = bb_config_find_backend(config(w), r->backend.data,
					    r->backend.size);
	size_t nr;

	if (b == BB_NO_ROW || config(w)->backends[b].host != w->snapshot->self)
		return;
	nr = bb_health_pool_summary(w->health, config(w)->backends[b].service,
				    own, SUMMARIES_MAX, now_us);
	for (size_t i = 0; i < nr; i++)
		items[i] = (struct bb_summary_item){
			backend_name(w, own[i].backend),
			own[i].class_id,
			own[i].samples,
			own[i].error_permille,
			own[i].median_us,
			own[i].spread_us,
			own[i].recent_age_ms,
		};
	m.summary.items = items;
	m.summary.items_nr = nr;
	w->o.send(w->o.send_data, from, &m);
}

static void take_summary(struct bb_health_monitor *w, uint32_t from,
			 const struct bb_summary_item *item, int64_t now_us)
{
	struct bb_pool_summary s = {
		.backend = bb_config_find_backend(config(w), item->backend.data,
						  item->backend.size),
		.class_id = item->class_id,
		.samples = item->samples,
		.error_permille = item->error_permille,
		.median_us = item->median_us,
		.spread_us = item->spread_us,
		.recent_age_ms = item->run_ms,
	};

	/* Only the adjacent node knows about a backend server. */
	if (s.backend == BB_NO_ROW ||
	    config(w)->backends[s.backend].host != from ||
	    s.class_id >= BB_HEALTH_CLASSES || s.error_permille > 1000)
		return;
	bb_health_set_pool_summary(w->health, &s, now_us);
}

void bb_health_monitor_receive(struct bb_health_monitor *w, uint32_t from,
			       const struct bb_message *m, int64_t now_us)
{
	if (m->type == BB_MESSAGE_SUMMARY_REQUEST)
		answer_summary(w, from, &m->summary_request, now_us);
	for (size_t i = 0;
	     m->type == BB_MESSAGE_SUMMARY && i < m->summary.items_nr; i++)
		take_summary(w, from, &m->summary.items[i], now_us);
}

void bb_health_monitor_tick(struct bb_health_monitor *w, int64_t now_us)
{
	uint32_t due;

	bb_health_tick(w->health, now_us);
	ask_summaries(w, now_us);
	while ((due = bb_health_probe_due(w->health, now_us)) != BB_NO_ROW)
		send_probe(w, due);
	for (size_t i = 0; i < config(w)->backends_nr; i++)
		if (config(w)->backends[i].host == w->snapshot->self)
			publish(w, (uint32_t)i, now_us);
}

/* The latest action that automation being off withholds. */
static json_t *would_json(struct bb_health_monitor *w, uint32_t backend,
			  int64_t now_us)
{
	const struct bb_health_withheld_action *list;
	size_t nr;

	list = bb_health_withheld_actions(w->health, &nr);
	for (size_t i = nr; i-- > 0;)
		if (list[i].backend == backend)
			return json_pack("{s:s, s:s, s:I}", "state",
					 bb_health_state_string[list[i].state],
					 "reason", list[i].reason, "age_ms",
					 (json_int_t)((now_us - list[i].at_us) /
						      BB_US_PER_MS));
	return json_null();
}

json_t *bb_health_monitor_status(struct bb_health_monitor *w, int64_t now_us)
{
	json_t *a = json_array();

	for (size_t i = 0; i < config(w)->backends_nr; i++) {
		uint32_t b = (uint32_t)i;

		if (config(w)->backends[i].host != w->snapshot->self)
			continue;
		json_array_append_new(
			a, json_pack("{s:s, s:s, s:s, s:o}", "name",
				     config(w)->backends[i].name, "state",
				     bb_health_state_string[bb_health_state(
					     w->health, b, now_us)],
				     "reason", bb_health_reason(w->health, b),
				     "would", would_json(w, b, now_us)));
	}
	return a;
}

void bb_health_monitor_delete(struct bb_health_monitor *w)
{
	if (!w)
		return;
	bb_executor_delete(w->executor);
	bb_health_delete(w->health);
	bb_snapshot_put(w->snapshot);
	g_hash_table_destroy(w->gates);
	g_hash_table_destroy(w->probes);
	g_free(w);
}
