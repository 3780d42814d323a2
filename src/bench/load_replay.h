/*
 * Discrete-event simulation of a load pattern with the modules that decide on
 * requests: attempts, load balancing, retry budget, admission, queue and
 * breaker. Many entry nodes take part; load reports reach them late by the
 * network delay. Used by test_load.cc and bench_load.c.
 *
 * A pattern is a key file with the group [fleet], a group "kind NAME" for each
 * kind of request and a group "event NAME" for each disturbance. All arrivals,
 * service times and failing spells are drawn before the run, so that every
 * method gets the same ones. The oracle knows free slots, failing spells and
 * service times; its results show how much a better method could still gain.
 */
#ifndef BB_LOAD_REPLAY_H
#define BB_LOAD_REPLAY_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "baobabward/admission.h"
#include "baobabward/attempt.h"
#include "baobabward/clock.h"

#define LOAD_KINDS_MAX 4
#define LOAD_DISTURBANCES_MAX 8
#define LOAD_ZONES_MAX 5
#define LOAD_SERVERS_MAX 128
/* Interval at which adjacent nodes refuse requests that waited too long. */
#define LOAD_TICK_US (50 * BB_US_PER_MS)

enum load_method {
	/* All modules, as in the daemon. */
	LOAD_MODULES,
	/* All modules but the breaker. */
	LOAD_NO_BREAKER,
	/* All modules but the search for a free slot. */
	LOAD_NO_SEARCH,
	/* Dispatches with full knowledge of all backend servers. */
	LOAD_ORACLE,
	LOAD_METHOD_COUNT
};

/*
 * LOAD_BURST raises the traffic. The others affect backend servers: they shed
 * requests, answer with errors, take longer, or do not answer.
 */
enum load_disturbance_type {
	LOAD_BURST,
	LOAD_SHED,
	LOAD_ERRORS,
	LOAD_SLOW,
	LOAD_HANG
};

/**
 * struct load_kind - one kind of request.
 * @rate: requests a second over all nodes
 * @priority: 0 is the highest
 * @target_us: target latency
 * @timeout_us: time after which the caller gives up
 * @service_us: median of the log-normal service time
 * @spread: standard deviation of the logarithm of the service time
 */
struct load_kind {
	char name[32];
	double rate;
	bool idempotent;
	uint32_t priority;
	int64_t target_us;
	int64_t timeout_us;
	double service_us;
	double spread;
};

/**
 * struct load_disturbance - a disturbance from @from_us until before @to_us.
 * @share: share of the backend servers that it affects, the first ones
 * @magnitude: factor of the traffic or the service time, or probability that a
 *	       request is shed, fails or hangs
 */
struct load_disturbance {
	enum load_disturbance_type type;
	int64_t from_us;
	int64_t to_us;
	double share;
	double magnitude;
};

/**
 * struct load_pattern - a fleet with a node beside each backend server, its
 * traffic and its disturbances.
 * @slots: slots of each backend server
 * @same_zone_delay_us: one-way network delay within an availability zone
 * @cross_zone_delay_us: one-way network delay between availability zones
 * @duration_us: time during which requests arrive
 * @retry_window_us: time over which @retry_slack is granted anew, 0 for never
 * @spell_share: share of the time in which a backend server is in a failing
 *		 spell
 * @spell_us: mean length of a failing spell
 * @spell_failure_ratio: probability that a request fails during a spell
 */
struct load_pattern {
	uint32_t servers;
	uint32_t zones;
	uint32_t slots;
	int64_t same_zone_delay_us;
	int64_t cross_zone_delay_us;
	int64_t duration_us;
	uint32_t retry_percent;
	uint32_t retry_slack;
	int64_t retry_window_us;
	double spell_share;
	int64_t spell_us;
	double spell_failure_ratio;
	struct load_kind kinds[LOAD_KINDS_MAX];
	uint32_t kinds_nr;
	struct load_disturbance disturbances[LOAD_DISTURBANCES_MAX];
	uint32_t disturbances_nr;
};

/**
 * struct load_result - results of the requests of one kind.
 * @requests: number of requests; the sum of the four counts that follow
 * @in_target: answered with success within the target latency
 * @late: answered with success after it, but before the timeout
 * @refused: ended because the last attempt did not run or no backend server
 *	     could take another one
 * @failed: answered with an error or not before the timeout
 * @refusal_us: sum of the times from arrival to refusal
 */
struct load_result {
	uint32_t requests;
	uint32_t in_target;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
	int64_t refusal_us;
};

/**
 * struct load_report - results by kind, and arrivals at backend servers.
 * @arrivals: attempts that started to run at a backend server
 * @repeat_arrivals: those of them that were not the first of their request
 */
struct load_report {
	struct load_result kinds[LOAD_KINDS_MAX];
	uint32_t arrivals;
	uint32_t repeat_arrivals;
};

struct load_sim;

/* A backend server and its adjacent node. */
struct load_server {
	struct load_sim *sim;
	struct bb_queue *queue;
	struct bb_breaker breaker;
	uint32_t zone;
	/* Ends of pauses and of failing spells in turn; a pause comes first. */
	GArray *spell_bounds_us;
	/* Time of the last answer without an error. */
	int64_t last_answer_us;
	/* Requests that occupy a slot. */
	GPtrArray *running;
};

/* A request from its arrival at an entry node to its result. */
struct load_request {
	struct bb_queue_entry entry;
	struct load_sim *sim;
	uint32_t kind;
	/* Entry node. */
	uint32_t node;
	int64_t arrived_us;
	int64_t service_us;
	/*
	 * Uniform in [0, 1), one for each attempt: it is shed, fails or hangs
	 * if the number is below the probability.
	 */
	double draws[BB_ATTEMPTS_MAX];
	struct bb_attempt_history history;
	/* Of the attempt under way. */
	struct bb_path *path;
	struct load_server *server;
	/* Attempts that started to run at a backend server. */
	uint32_t arrivals;
	/* Outcome of the attempt that runs. */
	bool failed;
	bool shed;
	/* The result has been recorded. */
	bool ended;
};

typedef void load_timer_fn(struct load_request *r, int64_t now_us);

/* A call at a simulated time. Calls at the same time come in @order. */
struct load_timer {
	int64_t at_us;
	uint64_t order;
	load_timer_fn *fn;
	struct load_request *request;
};

/* The simulation; node i is the adjacent node of backend server i. */
struct load_sim {
	struct load_pattern pattern;
	enum load_method method;
	struct bb_config *config;
	GRand *rand;
	struct load_server servers[LOAD_SERVERS_MAX];
	struct bb_balance *balances[LOAD_SERVERS_MAX];
	struct bb_retry_budget budgets[LOAD_SERVERS_MAX];
	struct load_request *requests;
	uint32_t requests_nr;
	GSequence *timers;
	/* @order of the next timer. */
	uint64_t next_order;
	/* Requests of the oracle that wait for a slot, in order of priority. */
	GPtrArray *waiting;
	struct load_report report;
};

static inline int64_t load_read_ms(GKeyFile *f, const char *group,
				   const char *key, double fallback)
{
	double ms = g_key_file_has_key(f, group, key, NULL) ?
			    g_key_file_get_double(f, group, key, NULL) :
			    fallback;

	return (int64_t)(ms * BB_US_PER_MS);
}

static inline double load_read_number(GKeyFile *f, const char *group,
				      const char *key, double fallback)
{
	return g_key_file_has_key(f, group, key, NULL) ?
		       g_key_file_get_double(f, group, key, NULL) :
		       fallback;
}

static inline void load_read_kind(struct load_pattern *p, GKeyFile *f,
				  const char *group)
{
	struct load_kind *k = &p->kinds[p->kinds_nr++];

	g_strlcpy(k->name, group + strlen("kind "), sizeof(k->name));
	k->rate = load_read_number(f, group, "rate", 1);
	k->idempotent = load_read_number(f, group, "idempotent", 0) > 0;
	k->priority = (uint32_t)load_read_number(f, group, "priority", 0);
	k->target_us = load_read_ms(f, group, "target_ms", 1000);
	k->timeout_us = load_read_ms(f, group, "timeout_ms", 2000);
	k->service_us = (double)load_read_ms(f, group, "service_ms", 100);
	k->spread = load_read_number(f, group, "spread", 0.5);
}

static inline bool load_read_disturbance(struct load_pattern *p, GKeyFile *f,
					 const char *group)
{
	static const char *const names[] = { "burst", "shed", "errors", "slow",
					     "hang" };
	struct load_disturbance *e = &p->disturbances[p->disturbances_nr++];
	char *name = g_key_file_get_string(f, group, "trouble", NULL);
	size_t i = 0;

	while (i < G_N_ELEMENTS(names) && g_strcmp0(name, names[i]))
		i++;
	g_free(name);
	e->type = (enum load_disturbance_type)i;
	e->from_us = load_read_ms(f, group, "at_ms", 0);
	e->to_us = e->from_us + load_read_ms(f, group, "for_ms", 1000);
	e->share = load_read_number(f, group, "share", 1);
	e->magnitude = load_read_number(f, group, "x", 1);
	return i < G_N_ELEMENTS(names);
}

/*
 * Return: false if the file cannot be read, names an unknown disturbance, has
 * no kind of request or too many backend servers.
 */
static inline bool load_pattern_read(struct load_pattern *p, const char *path)
{
	GKeyFile *f = g_key_file_new();
	bool ok = g_key_file_load_from_file(f, path, G_KEY_FILE_NONE, NULL);
	char **groups = g_key_file_get_groups(f, NULL);

	memset(p, 0, sizeof(*p));
	p->servers = (uint32_t)load_read_number(f, "fleet", "servers", 14);
	p->zones = (uint32_t)load_read_number(f, "fleet", "zones", 4);
	p->slots = (uint32_t)load_read_number(f, "fleet", "slots", 5);
	p->same_zone_delay_us = load_read_ms(f, "fleet", "near_ms", 0.2);
	p->cross_zone_delay_us = load_read_ms(f, "fleet", "far_ms", 1.4);
	p->duration_us = load_read_ms(f, "fleet", "length_ms", 30000);
	p->retry_percent =
		(uint32_t)load_read_number(f, "fleet", "retry_percent", 15);
	p->retry_slack =
		(uint32_t)load_read_number(f, "fleet", "retry_slack", 42);
	p->retry_window_us = load_read_ms(f, "fleet", "retry_window_ms", 10000);
	p->spell_share = load_read_number(f, "fleet", "spell_share", 0);
	p->spell_us = load_read_ms(f, "fleet", "spell_ms", 2700);
	p->spell_failure_ratio =
		load_read_number(f, "fleet", "spell_fails", 0.85);
	for (size_t i = 0; groups[i]; i++) {
		if (g_str_has_prefix(groups[i], "kind ") &&
		    p->kinds_nr < LOAD_KINDS_MAX)
			load_read_kind(p, f, groups[i]);
		if (g_str_has_prefix(groups[i], "event ") &&
		    p->disturbances_nr < LOAD_DISTURBANCES_MAX)
			ok = load_read_disturbance(p, f, groups[i]) && ok;
	}
	g_strfreev(groups);
	g_key_file_free(f);
	return ok && p->servers <= LOAD_SERVERS_MAX && p->kinds_nr;
}

static inline struct bb_config *load_config(const struct load_pattern *p)
{
	GString *hosts = g_string_new(NULL), *rows = g_string_new(NULL);
	struct bb_error err;
	struct bb_config *c;
	char *json;

	for (uint32_t i = 0; i < p->servers; i++) {
		g_string_append_printf(
			hosts,
			"%s{\"name\":\"h%u\",\"region\":\"r\",\"zone\":\"z%u\","
			"\"address\":\"127.0.0.%u\",\"data_port\":7001,"
			"\"control_port\":7002}",
			i ? "," : "", i, i % p->zones, i + 1);
		g_string_append_printf(
			rows,
			"%s{\"name\":\"b%u\",\"host\":\"h%u\",\"service\":\"s\","
			"\"url\":\"http://127.0.0.1:8001\",\"weight\":1,"
			"\"slots\":%u,\"max_connections\":300,"
			"\"state\":\"in\"}",
			i ? "," : "", i, i, p->slots);
	}
	json = g_strdup_printf(
		"{\"version\":1,\"automation\":true,"
		"\"idempotency_window_ms\":0,\"hosts\":[%s],"
		"\"services\":[{\"name\":\"s\",\"floor_percent\":70}],"
		"\"backends\":[%s],\"routes\":[],\"accounts\":[]}",
		hosts->str, rows->str);
	c = bb_config_parse(json, strlen(json), &err);
	if (!c)
		g_error("configuration of the simulated fleet was refused: %s",
			err.message);
	g_free(json);
	g_string_free(hosts, TRUE);
	g_string_free(rows, TRUE);
	return c;
}

static inline double load_normal(GRand *r)
{
	double u = 1 - g_rand_double(r);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(r));
}

/* Magnitude of the disturbance at a backend server, 0 if there is none. */
static inline double load_disturbance_at(const struct load_sim *s,
					 enum load_disturbance_type t,
					 uint32_t server, int64_t now_us)
{
	for (uint32_t i = 0; i < s->pattern.disturbances_nr; i++) {
		const struct load_disturbance *e = &s->pattern.disturbances[i];

		if (e->type == t && now_us >= e->from_us && now_us < e->to_us &&
		    server < e->share * s->pattern.servers)
			return e->magnitude;
	}
	return 0;
}

/* Pauses and failing spells alternate, so every second bound begins a pause. */
static inline bool load_in_spell(const struct load_server *v, int64_t now_us)
{
	guint i = 0;

	while (i < v->spell_bounds_us->len &&
	       now_us >= g_array_index(v->spell_bounds_us, int64_t, i))
		i++;
	return i % 2 == 1;
}

static inline int load_timer_compare(gconstpointer a, gconstpointer b,
				     gpointer data)
{
	const struct load_timer *x = (const struct load_timer *)a;
	const struct load_timer *y = (const struct load_timer *)b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static inline void load_schedule(struct load_sim *s, int64_t at_us,
				 load_timer_fn *fn, struct load_request *r)
{
	struct load_timer *t = g_new0(struct load_timer, 1);

	t->at_us = at_us;
	t->order = s->next_order++;
	t->fn = fn;
	t->request = r;
	g_sequence_insert_sorted(s->timers, t, load_timer_compare, NULL);
}

static inline uint32_t load_server_index(const struct load_server *v)
{
	return (uint32_t)(v - v->sim->servers);
}

static inline int64_t load_hop_delay_us(const struct load_request *r)
{
	const struct load_pattern *p = &r->sim->pattern;

	if (r->node == load_server_index(r->server))
		return 0;
	return r->node % p->zones == r->server->zone ? p->same_zone_delay_us :
						       p->cross_zone_delay_us;
}

static inline void load_record_result(struct load_request *r, bool ok,
				      bool refused, int64_t now_us)
{
	const struct load_kind *k = &r->sim->pattern.kinds[r->kind];
	struct load_result *out = &r->sim->report.kinds[r->kind];
	int64_t took_us = now_us - r->arrived_us;

	if (r->ended)
		return;
	r->ended = true;
	if (r->arrivals > 1)
		r->sim->report.repeat_arrivals += r->arrivals - 1;
	r->sim->report.arrivals += r->arrivals;
	if (refused) {
		out->refused++;
		out->refusal_us += took_us;
	} else if (!ok || took_us > k->timeout_us) {
		out->failed++;
	} else if (took_us > k->target_us) {
		out->late++;
	} else {
		out->in_target++;
	}
}

static inline void load_send(struct load_request *r, int64_t now_us);

static inline struct bb_attempt_limits
load_attempt_limits(const struct load_request *r)
{
	const struct load_kind *k = &r->sim->pattern.kinds[r->kind];
	struct bb_attempt_limits limits;

	memset(&limits, 0, sizeof(limits));
	limits.idempotent = k->idempotent;
	limits.max_slot_searches = r->sim->method == LOAD_NO_SEARCH ? 0 : 3;
	limits.deadline_us = r->arrived_us + k->timeout_us;
	return limits;
}

/* Ends an attempt. The entry node learns of it one network delay later. */
static inline void load_attempt_ended(struct load_request *r,
				      enum bb_verdict verdict,
				      enum bb_reason reason,
				      unsigned int status, int64_t now_us)
{
	struct bb_attempt_outcome outcome = { verdict, reason, status, 0 };
	struct bb_attempt_limits limits = load_attempt_limits(r);
	struct bb_load load = bb_queue_load(r->server->queue, now_us);

	if (r->sim->method != LOAD_NO_BREAKER)
		load.avoid_for_us =
			bb_breaker_open_us(&r->server->breaker, now_us);
	now_us += load_hop_delay_us(r);
	bb_balance_report(r->sim->balances[r->node], r->path, &load, now_us);
	bb_path_release(r->path);
	r->path = NULL;
	if (status == 200)
		load_record_result(r, true, false, now_us);
	else if (bb_attempt_decide_retry(&r->history, &limits, &outcome,
					 &r->sim->budgets[r->node], now_us))
		load_schedule(r->sim, now_us, load_send, r);
	else
		load_record_result(r, false,
				   r->history.verdict == BB_VERDICT_NOT_RUN,
				   now_us);
}

static inline void load_start_queued(struct load_server *v, int64_t now_us);

static inline void load_execution_ends(struct load_request *r, int64_t now_us)
{
	struct load_server *v = r->server;
	bool good = !r->failed && !r->shed;

	g_ptr_array_remove_fast(v->running, r);
	bb_queue_finish(v->queue, &r->entry, good, now_us);
	if (r->entry.opens_connection)
		bb_queue_connection_closed(v->queue);
	if (good)
		v->last_answer_us = now_us;
	if (good)
		bb_breaker_succeeded(&v->breaker, r->entry.started_us);
	else if (r->failed)
		bb_breaker_failed(&v->breaker, r->entry.started_us, now_us);
	if (r->shed)
		load_attempt_ended(r, BB_VERDICT_NOT_RUN,
				   BB_REASON_BACKEND_REFUSED, 0, now_us);
	else
		load_attempt_ended(r, BB_VERDICT_RAN, BB_REASON_NONE,
				   r->failed ? 500 : 200, now_us);
	load_start_queued(v, now_us);
}

/*
 * Sets whether the attempt is shed or fails, and returns how long it runs. An
 * attempt that hangs or would end too late fails when the caller gives up.
 */
static inline int64_t load_draw_execution(struct load_request *r,
					  const struct load_server *v,
					  double draw, int64_t now_us)
{
	const struct load_sim *s = r->sim;
	uint32_t i = load_server_index(v);
	int64_t left_us =
		r->arrived_us + s->pattern.kinds[r->kind].timeout_us - now_us;
	double slow = load_disturbance_at(s, LOAD_SLOW, i, now_us);
	int64_t run_us =
		(int64_t)((double)r->service_us * (slow > 0 ? slow : 1));

	r->shed = draw < load_disturbance_at(s, LOAD_SHED, i, now_us);
	r->failed = !r->shed &&
		    (draw < load_disturbance_at(s, LOAD_ERRORS, i, now_us) ||
		     (load_in_spell(v, now_us) &&
		      draw < s->pattern.spell_failure_ratio));
	if (r->shed || r->failed)
		return BB_US_PER_MS;
	if (draw < load_disturbance_at(s, LOAD_HANG, i, now_us) ||
	    run_us > left_us) {
		r->failed = true;
		return MAX(left_us, 1);
	}
	return run_us;
}

static inline void load_start_queued(struct load_server *v, int64_t now_us)
{
	struct bb_queue_entry *e;
	int64_t wake_us;

	bb_queue_expire(v->queue, now_us);
	while ((e = bb_queue_pop(v->queue, v->sim->pattern.slots, now_us,
				 &wake_us))) {
		struct load_request *r = (struct load_request *)(void *)e;

		r->arrivals++;
		g_ptr_array_add(v->running, r);
		load_schedule(v->sim,
			      now_us + load_draw_execution(
					       r, v,
					       r->draws[(r->arrivals - 1) %
							BB_ATTEMPTS_MAX],
					       now_us),
			      load_execution_ends, r);
	}
}

/* Ends an attempt that the queue refused. */
static inline void load_refused_by_queue(struct load_request *r, int64_t now_us)
{
	load_attempt_ended(r, BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL, 0,
			   now_us);
}

static inline void load_on_refused(void *data, struct bb_queue_entry *e,
				   enum bb_reason reason)
{
	struct load_server *v = (struct load_server *)data;
	struct load_request *r = (struct load_request *)(void *)e;

	(void)reason;
	/* The queue must not be called from within its refuse callback. */
	load_schedule(v->sim, 0, load_refused_by_queue, r);
}

static inline void load_attempt_arrives(struct load_request *r, int64_t now_us)
{
	const struct load_kind *k = &r->sim->pattern.kinds[r->kind];
	struct load_server *v = r->server;
	struct bb_admission_request a;
	struct bb_wait_limits w;
	enum bb_reason reason;

	memset(&a, 0, sizeof(a));
	a.idempotent = k->idempotent;
	a.last_resort = r->history.last_resort;
	a.may_wait = r->history.may_wait;
	reason = bb_admission_check(
		&a, v->queue,
		r->sim->method == LOAD_NO_BREAKER ? NULL : &v->breaker, now_us);
	if (reason) {
		load_attempt_ended(r, BB_VERDICT_NOT_RUN, reason, 0, now_us);
		return;
	}
	memset(&w, 0, sizeof(w));
	w.left_us = r->arrived_us + k->timeout_us - now_us;
	w.timeout_us = k->timeout_us;
	w.target_us = k->target_us;
	w.service_us = bb_queue_mean_service_us(v->queue);
	w.priority = k->priority;
	memset(&r->entry, 0, sizeof(r->entry));
	r->entry.account = 1;
	r->entry.weight = 1;
	r->entry.idempotent = k->idempotent;
	r->entry.not_after_us = r->arrived_us + k->timeout_us;
	r->entry.max_wait_us = bb_admission_wait_us(&w);
	reason = bb_queue_push(v->queue, &r->entry, now_us);
	if (reason)
		load_attempt_ended(r, BB_VERDICT_NOT_RUN, reason, 0, now_us);
	load_start_queued(v, now_us);
}

static inline void load_send(struct load_request *r, int64_t now_us)
{
	struct bb_attempt_limits limits = load_attempt_limits(r);
	struct bb_choice c = bb_attempt_choose(
		&r->history, &limits, r->sim->balances[r->node], now_us);

	if (c.backend == BB_NO_ROW) {
		load_record_result(r, false, true, now_us);
		return;
	}
	r->path = c.path;
	r->server = &r->sim->servers[c.backend];
	load_schedule(r->sim, now_us + load_hop_delay_us(r),
		      load_attempt_arrives, r);
}

static inline void load_tick(struct load_request *r, int64_t now_us)
{
	struct load_sim *s = r->sim;

	for (uint32_t i = 0; i < s->pattern.servers; i++) {
		struct load_server *v = &s->servers[i];
		int64_t ages_us[64], oldest_us = 0;
		size_t nr = 0;

		for (guint k = 0; k < v->running->len && nr < 64; k++) {
			const struct load_request *q =
				(const struct load_request *)
					v->running->pdata[k];

			ages_us[nr] = now_us - q->entry.started_us;
			oldest_us = MAX(oldest_us, ages_us[nr]);
			nr++;
		}
		if (!v->breaker.failures &&
		    bb_breaker_is_stalled(ages_us, nr,
					  bb_queue_mean_service_us(v->queue),
					  now_us - v->last_answer_us))
			bb_breaker_failed(&v->breaker, now_us - oldest_us,
					  now_us);
		load_start_queued(v, now_us);
	}
	if (now_us < s->pattern.duration_us + 5 * BB_US_PER_S)
		load_schedule(s, now_us + LOAD_TICK_US, load_tick, r);
}

/*
 * Returns a backend server with a free slot that neither fails, hangs nor is
 * slow, preferably in the availability zone of the entry node, or NULL.
 */
static inline struct load_server *load_oracle_server(struct load_request *r,
						     int64_t now_us)
{
	struct load_sim *s = r->sim;
	struct load_server *other_zone = NULL;

	for (uint32_t i = 0; i < s->pattern.servers; i++) {
		struct load_server *v = &s->servers[i];

		if (v->running->len >= s->pattern.slots ||
		    load_in_spell(v, now_us) ||
		    load_disturbance_at(s, LOAD_ERRORS, i, now_us) > 0 ||
		    load_disturbance_at(s, LOAD_HANG, i, now_us) > 0 ||
		    load_disturbance_at(s, LOAD_SLOW, i, now_us) > 0)
			continue;
		if (v->zone == r->node % s->pattern.zones)
			return v;
		other_zone = v;
	}
	return other_zone;
}

static inline void load_oracle_dispatch(struct load_sim *s, int64_t now_us);

static inline void load_oracle_execution_ends(struct load_request *r,
					      int64_t now_us)
{
	g_ptr_array_remove_fast(r->server->running, r);
	load_record_result(r, true, false, now_us + load_hop_delay_us(r));
	load_oracle_dispatch(r->sim, now_us);
}

/*
 * Starts waiting requests, those of the highest priority first, and refuses
 * those that cannot be answered within their target latency.
 */
static inline void load_oracle_dispatch(struct load_sim *s, int64_t now_us)
{
	for (guint i = 0; i < s->waiting->len;) {
		struct load_request *r =
			(struct load_request *)s->waiting->pdata[i];
		const struct load_kind *k = &s->pattern.kinds[r->kind];
		struct load_server *v = load_oracle_server(r, now_us);

		if (now_us + r->service_us +
			    2 * s->pattern.cross_zone_delay_us >
		    r->arrived_us + k->target_us) {
			load_record_result(r, false, true, now_us);
			g_ptr_array_remove_index(s->waiting, i);
			continue;
		}
		if (!v)
			return;
		r->server = v;
		r->arrivals = 1;
		g_ptr_array_add(v->running, r);
		load_schedule(s, now_us + load_hop_delay_us(r) + r->service_us,
			      load_oracle_execution_ends, r);
		g_ptr_array_remove_index(s->waiting, i);
	}
}

static inline void load_oracle_arrives(struct load_request *r, int64_t now_us)
{
	struct load_sim *s = r->sim;
	guint at = 0;

	while (at < s->waiting->len) {
		const struct load_request *o =
			(const struct load_request *)s->waiting->pdata[at];

		if (s->pattern.kinds[o->kind].priority >
		    s->pattern.kinds[r->kind].priority)
			break;
		at++;
	}
	g_ptr_array_insert(s->waiting, (gint)at, r);
	load_oracle_dispatch(s, now_us);
}

static inline void load_begin(struct load_request *r, int64_t now_us)
{
	r->sim->report.kinds[r->kind].requests++;
	bb_retry_budget_deposit(&r->sim->budgets[r->node]);
	if (r->sim->method == LOAD_ORACLE)
		load_oracle_arrives(r, now_us);
	else
		load_send(r, now_us);
}

/* Draws Poisson arrivals of one kind at the rate in force at each time. */
static inline void load_draw_arrivals(struct load_sim *s, uint32_t kind,
				      GArray *out)
{
	const struct load_kind *k = &s->pattern.kinds[kind];
	int64_t now_us = 0;

	for (;;) {
		double x = load_disturbance_at(s, LOAD_BURST, 0, now_us);
		double gap_s = -log(1 - g_rand_double(s->rand)) /
			       (k->rate * (x > 0 ? x : 1));
		struct load_request r;

		now_us += (int64_t)(gap_s * BB_US_PER_S) + 1;
		if (now_us >= s->pattern.duration_us)
			return;
		memset(&r, 0, sizeof(r));
		r.sim = s;
		r.kind = kind;
		r.arrived_us = now_us;
		r.node = (uint32_t)g_rand_int_range(s->rand, 0,
						    (gint32)s->pattern.servers);
		r.service_us = (int64_t)(k->service_us *
					 exp(k->spread * load_normal(s->rand)));
		for (int i = 0; i < BB_ATTEMPTS_MAX; i++)
			r.draws[i] = g_rand_double(s->rand);
		g_array_append_val(out, r);
	}
}

static inline void load_draw_spells(struct load_sim *s, struct load_server *v)
{
	double pause_us = s->pattern.spell_share > 0 ?
				  (double)s->pattern.spell_us *
					  (1 / s->pattern.spell_share - 1) :
				  1e15;
	int64_t now_us = 0;

	while (now_us < s->pattern.duration_us) {
		now_us += (int64_t)(pause_us *
				    g_rand_double_range(s->rand, 0.3, 1.7));
		g_array_append_val(v->spell_bounds_us, now_us);
		now_us += (int64_t)((double)s->pattern.spell_us *
				    g_rand_double_range(s->rand, 0.5, 1.5));
		g_array_append_val(v->spell_bounds_us, now_us);
	}
}

static inline void load_server_init(struct load_sim *s, uint32_t i)
{
	struct load_server *v = &s->servers[i];
	struct bb_queue_options q;
	struct bb_balance_options b;
	struct bb_retry_fleet_limits fleet = { s->pattern.retry_percent,
					       s->pattern.retry_slack,
					       s->pattern.retry_window_us,
					       s->pattern.servers };
	struct bb_retry_limits limits = bb_retry_limits_of_fleet(&fleet);

	memset(&q, 0, sizeof(q));
	q.slots = s->pattern.slots;
	q.max_connections = 300;
	q.booking_wait_us = 1500 * BB_US_PER_MS;
	q.refuse = load_on_refused;
	q.data = v;
	memset(&b, 0, sizeof(b));
	b.config = s->config;
	b.zone_id = s->config->hosts[i].zone_id;
	b.zone_penalty = -1;
	b.local_max_load = 0.5;
	b.stale_us = 150 * BB_US_PER_MS;
	b.seed = 100 + i;
	v->sim = s;
	v->zone = i % s->pattern.zones;
	v->queue = bb_queue_new(&q);
	v->spell_bounds_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	v->running = g_ptr_array_new();
	load_draw_spells(s, v);
	s->balances[i] = bb_balance_new(&b);
	bb_retry_budget_init(&s->budgets[i], &limits, 0);
}

static inline void load_sim_delete(struct load_sim *s)
{
	for (uint32_t i = 0; i < s->pattern.servers; i++) {
		bb_balance_delete(s->balances[i]);
		bb_queue_delete(s->servers[i].queue);
		g_array_free(s->servers[i].spell_bounds_us, TRUE);
		g_ptr_array_free(s->servers[i].running, TRUE);
	}
	g_sequence_free(s->timers);
	g_ptr_array_free(s->waiting, TRUE);
	g_free(s->requests);
	bb_config_delete(s->config);
	g_rand_free(s->rand);
	g_free(s);
}

/* Simulates a pattern with one method. Equal seeds give equal arrivals. */
static inline struct load_report load_replay(const struct load_pattern *p,
					     enum load_method method,
					     uint32_t seed)
{
	struct load_sim *s = g_new0(struct load_sim, 1);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct load_request));
	struct load_request ticker;
	struct load_report report;
	int64_t now_us = 0;

	s->pattern = *p;
	s->method = method;
	s->rand = g_rand_new_with_seed(seed);
	s->config = load_config(p);
	s->timers = g_sequence_new(g_free);
	s->waiting = g_ptr_array_new();
	for (uint32_t i = 0; i < p->servers; i++)
		load_server_init(s, i);
	for (uint32_t i = 0; i < p->kinds_nr; i++)
		load_draw_arrivals(s, i, all);
	s->requests_nr = all->len;
	s->requests = (struct load_request *)(void *)g_array_free(all, FALSE);
	for (uint32_t i = 0; i < s->requests_nr; i++)
		load_schedule(s, s->requests[i].arrived_us, load_begin,
			      &s->requests[i]);
	memset(&ticker, 0, sizeof(ticker));
	ticker.sim = s;
	if (method != LOAD_ORACLE)
		load_schedule(s, 0, load_tick, &ticker);
	while (!g_sequence_is_empty(s->timers)) {
		GSequenceIter *first = g_sequence_get_begin_iter(s->timers);
		struct load_timer t =
			*(struct load_timer *)g_sequence_get(first);

		g_sequence_remove(first);
		/* A timer set for time 0 fires at the current time. */
		now_us = MAX(now_us, t.at_us);
		t.fn(t.request, now_us);
	}
	for (uint32_t i = 0; i < s->requests_nr; i++)
		load_record_result(&s->requests[i], false, true, now_us);
	report = s->report;
	load_sim_delete(s);
	return report;
}

#endif
