/*
 * Replay of a load pattern through the modules that decide on requests:
 * attempts, load balancing, retry budget, admission, queue and breaker, for
 * many entry nodes with reports that lag by the network's delay. For
 * test_load.cc and bench_load.c.
 *
 * A pattern is a key file: [fleet], a group "kind NAME" for each kind of request
 * and a group "event NAME" for each disturbance. All arrivals and service times
 * are drawn before the run, so that every method gets the same ones. The oracle
 * knows free slots, failing spells and service times; it says how much is left
 * to win.
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
#define LOAD_EVENTS_MAX 8
#define LOAD_ZONES_MAX 5
#define LOAD_SERVERS_MAX 128
/* Interval at which adjacent nodes refuse what waited in vain. */
#define LOAD_TICK_US (50 * BB_US_PER_MS)

enum load_method {
	/* As the daemon decides. */
	LOAD_MODULES,
	/* The same without the breaker. */
	LOAD_NO_BREAKER,
	/* The same without the search for a free slot. */
	LOAD_NO_SEARCH,
	LOAD_ORACLE,
	LOAD_METHOD_COUNT
};

enum load_trouble { LOAD_BURST, LOAD_SHED, LOAD_ERRORS, LOAD_SLOW, LOAD_HANG };

/**
 * struct load_kind - one kind of request.
 * @rate: requests a second over all nodes
 * @target_us: time in which an answer is of full use
 * @timeout_us: time after which the caller is gone
 * @service_us: median of the service time, with log-normal @spread
 * @priority: rank, 0 is the highest
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
 * struct load_event - a disturbance.
 * @share: of the backend servers, the first ones
 * @x: factor of the traffic or the service time, or share of the requests that
 *     are shed or fail
 */
struct load_event {
	enum load_trouble trouble;
	int64_t from_us;
	int64_t to_us;
	double share;
	double x;
};

struct load_pattern {
	uint32_t servers;
	uint32_t zones;
	uint32_t slots;
	int64_t near_us;
	int64_t far_us;
	int64_t length_us;
	uint32_t retry_percent;
	uint32_t retry_slack;
	/* Backend servers fail @spell_fails of their requests in spells. */
	double spell_share;
	int64_t spell_us;
	double spell_fails;
	struct load_kind kinds[LOAD_KINDS_MAX];
	uint32_t kinds_nr;
	struct load_event events[LOAD_EVENTS_MAX];
	uint32_t events_nr;
};

/**
 * struct load_result - what callers of one kind got.
 * @in_target: answered well within the target latency
 * @refusal_us: sum of the times from arrival to refusal
 */
struct load_result {
	uint32_t asked;
	uint32_t in_target;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
	int64_t refusal_us;
};

/**
 * struct load_report - results by kind, and arrivals at backend servers.
 * @beyond_first: arrivals beyond the first of a request
 */
struct load_report {
	struct load_result kinds[LOAD_KINDS_MAX];
	uint32_t arrivals;
	uint32_t beyond_first;
};

struct load_sim;

struct load_server {
	struct load_sim *sim;
	struct bb_queue *queue;
	struct bb_breaker breaker;
	uint32_t zone;
	/* Ends of failing spells and pauses in turn, from the start. */
	GArray *spells;
	int64_t answered_us;
	GPtrArray *running;
};

struct load_request {
	struct bb_queue_entry entry;
	struct load_sim *sim;
	uint32_t kind;
	uint32_t node;
	int64_t arrived_us;
	int64_t service_us;
	/* Draws that decide whether an attempt is shed or fails. */
	double luck[BB_ATTEMPTS_MAX];
	struct bb_attempt_history made;
	struct bb_path *path;
	struct load_server *server;
	uint32_t arrivals;
	bool failed;
	bool shed;
	bool over;
};

typedef void load_step_fn(struct load_request *r, int64_t now_us);

struct load_step {
	int64_t at_us;
	uint64_t order;
	load_step_fn *fn;
	struct load_request *request;
};

struct load_sim {
	struct load_pattern p;
	enum load_method method;
	struct bb_config *config;
	GRand *rand;
	struct load_server servers[LOAD_SERVERS_MAX];
	struct bb_balance *balances[LOAD_SERVERS_MAX];
	struct bb_retry_budget budgets[LOAD_SERVERS_MAX];
	struct load_request *requests;
	uint32_t requests_nr;
	GSequence *steps;
	uint64_t order;
	/* Requests of the oracle that wait for a slot. */
	GPtrArray *waiting;
	struct load_report report;
};

static inline int64_t load_ms(GKeyFile *f, const char *group, const char *key,
			      double fallback)
{
	double ms = g_key_file_has_key(f, group, key, NULL) ?
			    g_key_file_get_double(f, group, key, NULL) :
			    fallback;

	return (int64_t)(ms * BB_US_PER_MS);
}

static inline double load_number(GKeyFile *f, const char *group,
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
	k->rate = load_number(f, group, "rate", 1);
	k->idempotent = load_number(f, group, "idempotent", 0) > 0;
	k->priority = (uint32_t)load_number(f, group, "priority", 0);
	k->target_us = load_ms(f, group, "target_ms", 1000);
	k->timeout_us = load_ms(f, group, "timeout_ms", 2000);
	k->service_us = (double)load_ms(f, group, "service_ms", 100);
	k->spread = load_number(f, group, "spread", 0.5);
}

static inline bool load_read_event(struct load_pattern *p, GKeyFile *f,
				   const char *group)
{
	static const char *const names[] = { "burst", "shed", "errors", "slow",
					     "hang" };
	struct load_event *e = &p->events[p->events_nr++];
	char *name = g_key_file_get_string(f, group, "trouble", NULL);
	size_t i = 0;

	while (i < G_N_ELEMENTS(names) && g_strcmp0(name, names[i]))
		i++;
	g_free(name);
	e->trouble = (enum load_trouble)i;
	e->from_us = load_ms(f, group, "at_ms", 0);
	e->to_us = e->from_us + load_ms(f, group, "for_ms", 1000);
	e->share = load_number(f, group, "share", 1);
	e->x = load_number(f, group, "x", 1);
	return i < G_N_ELEMENTS(names);
}

/* Return: false if the file cannot be read or names an unknown trouble. */
static inline bool load_pattern_read(struct load_pattern *p, const char *path)
{
	GKeyFile *f = g_key_file_new();
	bool ok = g_key_file_load_from_file(f, path, G_KEY_FILE_NONE, NULL);
	char **groups = g_key_file_get_groups(f, NULL);

	memset(p, 0, sizeof(*p));
	p->servers = (uint32_t)load_number(f, "fleet", "servers", 14);
	p->zones = (uint32_t)load_number(f, "fleet", "zones", 4);
	p->slots = (uint32_t)load_number(f, "fleet", "slots", 5);
	p->near_us = load_ms(f, "fleet", "near_ms", 0.2);
	p->far_us = load_ms(f, "fleet", "far_ms", 1.4);
	p->length_us = load_ms(f, "fleet", "length_ms", 30000);
	p->retry_percent =
		(uint32_t)load_number(f, "fleet", "retry_percent", 15);
	p->retry_slack = (uint32_t)load_number(f, "fleet", "retry_slack", 42);
	p->spell_share = load_number(f, "fleet", "spell_share", 0);
	p->spell_us = load_ms(f, "fleet", "spell_ms", 2700);
	p->spell_fails = load_number(f, "fleet", "spell_fails", 0.85);
	for (size_t i = 0; groups[i]; i++) {
		if (g_str_has_prefix(groups[i], "kind ") &&
		    p->kinds_nr < LOAD_KINDS_MAX)
			load_read_kind(p, f, groups[i]);
		if (g_str_has_prefix(groups[i], "event ") &&
		    p->events_nr < LOAD_EVENTS_MAX)
			ok = load_read_event(p, f, groups[i]) && ok;
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
		g_error("configuration of the replay: %s", err.message);
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

/* Factor or share of a trouble for a backend server, or 0. */
static inline double load_trouble_at(const struct load_sim *s,
				     enum load_trouble t, uint32_t server,
				     int64_t now_us)
{
	for (uint32_t i = 0; i < s->p.events_nr; i++) {
		const struct load_event *e = &s->p.events[i];

		if (e->trouble == t && now_us >= e->from_us &&
		    now_us < e->to_us && server < e->share * s->p.servers)
			return e->x;
	}
	return 0;
}

/* Whether a failing spell is under way: pauses and spells take turns. */
static inline bool load_in_spell(const struct load_server *v, int64_t now_us)
{
	guint i = 0;

	while (i < v->spells->len &&
	       now_us >= g_array_index(v->spells, int64_t, i))
		i++;
	return i % 2 == 1;
}

static inline int load_step_compare(gconstpointer a, gconstpointer b,
				    gpointer data)
{
	const struct load_step *x = (const struct load_step *)a;
	const struct load_step *y = (const struct load_step *)b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static inline void load_later(struct load_sim *s, int64_t at_us,
			      load_step_fn *fn, struct load_request *r)
{
	struct load_step *t = g_new0(struct load_step, 1);

	t->at_us = at_us;
	t->order = s->order++;
	t->fn = fn;
	t->request = r;
	g_sequence_insert_sorted(s->steps, t, load_step_compare, NULL);
}

static inline uint32_t load_index(const struct load_server *v)
{
	return (uint32_t)(v - v->sim->servers);
}

static inline int64_t load_hop_us(const struct load_request *r)
{
	const struct load_pattern *p = &r->sim->p;

	if (r->node == load_index(r->server))
		return 0;
	return r->node % p->zones == r->server->zone ? p->near_us : p->far_us;
}

static inline void load_done(struct load_request *r, bool ok, bool refused,
			     int64_t now_us)
{
	const struct load_kind *k = &r->sim->p.kinds[r->kind];
	struct load_result *out = &r->sim->report.kinds[r->kind];
	int64_t took_us = now_us - r->arrived_us;

	if (r->over)
		return;
	r->over = true;
	if (r->arrivals > 1)
		r->sim->report.beyond_first += r->arrivals - 1;
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

static inline struct bb_attempt_limits load_rules(const struct load_request *r)
{
	const struct load_kind *k = &r->sim->p.kinds[r->kind];
	struct bb_attempt_limits rules;

	memset(&rules, 0, sizeof(rules));
	rules.idempotent = k->idempotent;
	rules.max_slot_searches = r->sim->method == LOAD_NO_SEARCH ? 0 : 3;
	rules.deadline_us = r->arrived_us + k->timeout_us;
	return rules;
}

/* An attempt ended, as the entry node hears one hop later. */
static inline void load_ended(struct load_request *r, enum bb_verdict verdict,
			      enum bb_reason reason, unsigned int status,
			      int64_t now_us)
{
	struct bb_attempt_outcome end = { verdict, reason, status };
	struct bb_attempt_limits rules = load_rules(r);
	struct bb_load load = bb_queue_load(r->server->queue);

	if (r->sim->method != LOAD_NO_BREAKER)
		load.avoid_for_us =
			bb_breaker_open_us(&r->server->breaker, now_us);
	now_us += load_hop_us(r);
	bb_balance_report(r->sim->balances[r->node], r->path, &load, now_us);
	bb_path_release(r->path);
	r->path = NULL;
	if (status == 200)
		load_done(r, true, false, now_us);
	else if (bb_attempt_decide_retry(&r->made, &rules, &end,
					 &r->sim->budgets[r->node], now_us))
		load_later(r->sim, now_us, load_send, r);
	else
		load_done(r, false, r->made.verdict == BB_VERDICT_NOT_RUN,
			  now_us);
}

static inline void load_start_waiting(struct load_server *v, int64_t now_us);

static inline void load_run_ends(struct load_request *r, int64_t now_us)
{
	struct load_server *v = r->server;
	bool good = !r->failed && !r->shed;

	g_ptr_array_remove_fast(v->running, r);
	bb_queue_finish(v->queue, &r->entry, good, now_us);
	if (r->entry.opens_connection)
		bb_queue_connection_closed(v->queue);
	if (good)
		v->answered_us = now_us;
	if (good)
		bb_breaker_succeeded(&v->breaker, r->entry.started_us);
	else if (r->failed)
		bb_breaker_failed(&v->breaker, r->entry.started_us, now_us);
	if (r->shed)
		load_ended(r, BB_VERDICT_NOT_RUN, BB_REASON_BACKEND_REFUSED, 0,
			   now_us);
	else
		load_ended(r, BB_VERDICT_RAN, BB_REASON_NONE,
			   r->failed ? 500 : 200, now_us);
	load_start_waiting(v, now_us);
}

/* Decides how a run ends, and when. */
static inline int64_t load_run_us(struct load_request *r,
				  const struct load_server *v, double luck,
				  int64_t now_us)
{
	const struct load_sim *s = r->sim;
	uint32_t i = load_index(v);
	int64_t left_us =
		r->arrived_us + s->p.kinds[r->kind].timeout_us - now_us;
	double slow = load_trouble_at(s, LOAD_SLOW, i, now_us);
	int64_t run_us =
		(int64_t)((double)r->service_us * (slow > 0 ? slow : 1));

	r->shed = luck < load_trouble_at(s, LOAD_SHED, i, now_us);
	r->failed = !r->shed &&
		    (luck < load_trouble_at(s, LOAD_ERRORS, i, now_us) ||
		     (load_in_spell(v, now_us) && luck < s->p.spell_fails));
	if (r->shed || r->failed)
		return BB_US_PER_MS;
	if (luck < load_trouble_at(s, LOAD_HANG, i, now_us) ||
	    run_us > left_us) {
		r->failed = true;
		return MAX(left_us, 1);
	}
	return run_us;
}

static inline void load_start_waiting(struct load_server *v, int64_t now_us)
{
	struct bb_queue_entry *e;
	int64_t wake_us;

	bb_queue_expire(v->queue, now_us);
	while ((e = bb_queue_pop(v->queue, v->sim->p.slots, now_us,
				 &wake_us))) {
		struct load_request *r = (struct load_request *)(void *)e;

		r->arrivals++;
		g_ptr_array_add(v->running, r);
		load_later(v->sim,
			   now_us + load_run_us(r, v,
						r->luck[(r->arrivals - 1) %
							BB_ATTEMPTS_MAX],
						now_us),
			   load_run_ends, r);
	}
}

/* The queue hands an entry back; its functions must not be called from here. */
static inline void load_handed_back(struct load_request *r, int64_t now_us)
{
	load_ended(r, BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL, 0, now_us);
}

static inline void load_refused(void *data, struct bb_queue_entry *e,
				enum bb_reason reason)
{
	struct load_server *v = (struct load_server *)data;
	struct load_request *r = (struct load_request *)(void *)e;

	(void)reason;
	load_later(v->sim, 0, load_handed_back, r);
}

static inline void load_arrives(struct load_request *r, int64_t now_us)
{
	const struct load_kind *k = &r->sim->p.kinds[r->kind];
	struct load_server *v = r->server;
	struct bb_admission_request a;
	struct bb_wait_limits w;
	enum bb_reason reason;

	memset(&a, 0, sizeof(a));
	a.idempotent = k->idempotent;
	a.last_resort = r->made.last_resort;
	a.may_wait = r->made.may_wait;
	reason = bb_admission_check(
		&a, v->queue,
		r->sim->method == LOAD_NO_BREAKER ? NULL : &v->breaker, now_us);
	if (reason) {
		load_ended(r, BB_VERDICT_NOT_RUN, reason, 0, now_us);
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
		load_ended(r, BB_VERDICT_NOT_RUN, reason, 0, now_us);
	load_start_waiting(v, now_us);
}

static inline void load_send(struct load_request *r, int64_t now_us)
{
	struct bb_attempt_limits rules = load_rules(r);
	struct bb_choice c = bb_attempt_choose(
		&r->made, &rules, r->sim->balances[r->node], now_us);

	if (c.backend == BB_NO_ROW) {
		load_done(r, false, true, now_us);
		return;
	}
	r->path = c.path;
	r->server = &r->sim->servers[c.backend];
	load_later(r->sim, now_us + load_hop_us(r), load_arrives, r);
}

static inline void load_tick(struct load_request *r, int64_t now_us)
{
	struct load_sim *s = r->sim;

	for (uint32_t i = 0; i < s->p.servers; i++) {
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
					  now_us - v->answered_us))
			bb_breaker_failed(&v->breaker, now_us - oldest_us,
					  now_us);
		load_start_waiting(v, now_us);
	}
	if (now_us < s->p.length_us + 5 * BB_US_PER_S)
		load_later(s, now_us + LOAD_TICK_US, load_tick, r);
}

/* The oracle's choice: a free slot of a sound backend server, near first. */
static inline struct load_server *load_oracle_server(struct load_request *r,
						     int64_t now_us)
{
	struct load_sim *s = r->sim;
	struct load_server *far = NULL;

	for (uint32_t i = 0; i < s->p.servers; i++) {
		struct load_server *v = &s->servers[i];

		if (v->running->len >= s->p.slots || load_in_spell(v, now_us) ||
		    load_trouble_at(s, LOAD_ERRORS, i, now_us) > 0 ||
		    load_trouble_at(s, LOAD_HANG, i, now_us) > 0 ||
		    load_trouble_at(s, LOAD_SLOW, i, now_us) > 0)
			continue;
		if (v->zone == r->node % s->p.zones)
			return v;
		far = v;
	}
	return far;
}

static inline void load_oracle_place(struct load_sim *s, int64_t now_us);

static inline void load_oracle_ends(struct load_request *r, int64_t now_us)
{
	g_ptr_array_remove_fast(r->server->running, r);
	load_done(r, true, false, now_us + load_hop_us(r));
	load_oracle_place(r->sim, now_us);
}

/* Most urgent first; what cannot come in time is refused. */
static inline void load_oracle_place(struct load_sim *s, int64_t now_us)
{
	for (guint i = 0; i < s->waiting->len;) {
		struct load_request *r =
			(struct load_request *)s->waiting->pdata[i];
		const struct load_kind *k = &s->p.kinds[r->kind];
		struct load_server *v = load_oracle_server(r, now_us);

		if (now_us + r->service_us + 2 * s->p.far_us >
		    r->arrived_us + k->target_us) {
			load_done(r, false, true, now_us);
			g_ptr_array_remove_index(s->waiting, i);
			continue;
		}
		if (!v)
			return;
		r->server = v;
		r->arrivals = 1;
		g_ptr_array_add(v->running, r);
		load_later(s, now_us + load_hop_us(r) + r->service_us,
			   load_oracle_ends, r);
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

		if (s->p.kinds[o->kind].priority > s->p.kinds[r->kind].priority)
			break;
		at++;
	}
	g_ptr_array_insert(s->waiting, (gint)at, r);
	load_oracle_place(s, now_us);
}

static inline void load_begin(struct load_request *r, int64_t now_us)
{
	r->sim->report.kinds[r->kind].asked++;
	bb_retry_budget_deposit(&r->sim->budgets[r->node]);
	if (r->sim->method == LOAD_ORACLE)
		load_oracle_arrives(r, now_us);
	else
		load_send(r, now_us);
}

/* Arrivals of one kind, as the traffic of each moment asks for. */
static inline void load_draw_arrivals(struct load_sim *s, uint32_t kind,
				      GArray *out)
{
	const struct load_kind *k = &s->p.kinds[kind];
	int64_t now_us = 0;

	for (;;) {
		double x = load_trouble_at(s, LOAD_BURST, 0, now_us);
		double gap_s = -log(1 - g_rand_double(s->rand)) /
			       (k->rate * (x > 0 ? x : 1));
		struct load_request r;

		now_us += (int64_t)(gap_s * BB_US_PER_S) + 1;
		if (now_us >= s->p.length_us)
			return;
		memset(&r, 0, sizeof(r));
		r.sim = s;
		r.kind = kind;
		r.arrived_us = now_us;
		r.node = (uint32_t)g_rand_int_range(s->rand, 0,
						    (gint32)s->p.servers);
		r.service_us = (int64_t)(k->service_us *
					 exp(k->spread * load_normal(s->rand)));
		for (int i = 0; i < BB_ATTEMPTS_MAX; i++)
			r.luck[i] = g_rand_double(s->rand);
		g_array_append_val(out, r);
	}
}

static inline void load_draw_spells(struct load_sim *s, struct load_server *v)
{
	double pause_us =
		s->p.spell_share > 0 ?
			(double)s->p.spell_us * (1 / s->p.spell_share - 1) :
			1e15;
	int64_t now_us = 0;

	while (now_us < s->p.length_us) {
		now_us += (int64_t)(pause_us *
				    g_rand_double_range(s->rand, 0.3, 1.7));
		g_array_append_val(v->spells, now_us);
		now_us += (int64_t)((double)s->p.spell_us *
				    g_rand_double_range(s->rand, 0.5, 1.5));
		g_array_append_val(v->spells, now_us);
	}
}

static inline void load_init_server(struct load_sim *s, uint32_t i)
{
	struct load_server *v = &s->servers[i];
	struct bb_queue_options q;
	struct bb_balance_options b;
	struct bb_retry_limits limits = bb_retry_limits_of_fleet(
		s->p.retry_percent, s->p.retry_slack, s->p.servers);

	memset(&q, 0, sizeof(q));
	q.slots = s->p.slots;
	q.max_connections = 300;
	q.booking_wait_us = 1500 * BB_US_PER_MS;
	q.refuse = load_refused;
	q.data = v;
	memset(&b, 0, sizeof(b));
	b.config = s->config;
	b.zone_id = s->config->hosts[i].zone_id;
	b.zone_penalty = -1;
	b.local_max_load = 0.5;
	b.stale_us = 150 * BB_US_PER_MS;
	b.seed = 100 + i;
	v->sim = s;
	v->zone = i % s->p.zones;
	v->queue = bb_queue_new(&q);
	v->spells = g_array_new(FALSE, FALSE, sizeof(int64_t));
	v->running = g_ptr_array_new();
	load_draw_spells(s, v);
	s->balances[i] = bb_balance_new(&b);
	bb_retry_budget_init(&s->budgets[i], &limits, 0);
}

static inline void load_finish(struct load_sim *s)
{
	for (uint32_t i = 0; i < s->p.servers; i++) {
		bb_balance_delete(s->balances[i]);
		bb_queue_delete(s->servers[i].queue);
		g_array_free(s->servers[i].spells, TRUE);
		g_ptr_array_free(s->servers[i].running, TRUE);
	}
	g_sequence_free(s->steps);
	g_ptr_array_free(s->waiting, TRUE);
	g_free(s->requests);
	bb_config_delete(s->config);
	g_rand_free(s->rand);
	g_free(s);
}

/* Plays a pattern with one method. */
static inline struct load_report load_replay(const struct load_pattern *p,
					     enum load_method method,
					     uint32_t seed)
{
	struct load_sim *s = g_new0(struct load_sim, 1);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct load_request));
	struct load_request ticker;
	struct load_report report;
	int64_t now_us = 0;

	s->p = *p;
	s->method = method;
	s->rand = g_rand_new_with_seed(seed);
	s->config = load_config(p);
	s->steps = g_sequence_new(g_free);
	s->waiting = g_ptr_array_new();
	for (uint32_t i = 0; i < p->servers; i++)
		load_init_server(s, i);
	for (uint32_t i = 0; i < p->kinds_nr; i++)
		load_draw_arrivals(s, i, all);
	s->requests_nr = all->len;
	s->requests = (struct load_request *)(void *)g_array_free(all, FALSE);
	for (uint32_t i = 0; i < s->requests_nr; i++)
		load_later(s, s->requests[i].arrived_us, load_begin,
			   &s->requests[i]);
	memset(&ticker, 0, sizeof(ticker));
	ticker.sim = s;
	if (method != LOAD_ORACLE)
		load_later(s, 0, load_tick, &ticker);
	while (!g_sequence_is_empty(s->steps)) {
		GSequenceIter *first = g_sequence_get_begin_iter(s->steps);
		struct load_step t = *(struct load_step *)g_sequence_get(first);

		g_sequence_remove(first);
		/* Steps without a time of their own come at once. */
		now_us = MAX(now_us, t.at_us);
		t.fn(t.request, now_us);
	}
	for (uint32_t i = 0; i < s->requests_nr; i++)
		load_done(&s->requests[i], false, true, now_us);
	report = s->report;
	load_finish(s);
	return report;
}

#endif
