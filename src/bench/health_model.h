/*
 * Simulated pool of one service for tests and measurements of failure
 * detection: one node with its own struct bb_health beside each backend server.
 * Outcomes are drawn from a seeded generator and time is simulated, so that
 * equal seeds give equal runs.
 */
#ifndef BB_BENCH_HEALTH_MODEL_H
#define BB_BENCH_HEALTH_MODEL_H

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/health.h"
#include "baobabward/permit.h"

#define MODEL_BACKENDS_MAX 25
#define MODEL_ZONES 4
#define MODEL_ACCOUNTS 8
#define MODEL_STEP_US (10 * BB_US_PER_MS)
#define MODEL_TICK_US (100 * BB_US_PER_MS)
#define MODEL_TIMEOUT_US (1 * BB_US_PER_S)
#define MODEL_PROBE_TIMEOUT_US (500 * BB_US_PER_MS)
#define MODEL_NOISE_SLOT_US (50 * BB_US_PER_MS)
#define MODEL_PROBE_US (25 * BB_US_PER_MS)
#define MODEL_CONNECTIONS 8

enum model_fault {
	FAULT_NONE,
	/* Faults of backend server 0. */
	FAULT_SLOW_3,
	FAULT_SLOW_5,
	FAULT_SLOW_ONE_CLASS,
	FAULT_ERRORS_30,
	FAULT_TRUNCATED_30,
	FAULT_HANGING,
	FAULT_DEAD,
	FAULT_FLAPPING,
	/* Conditions that must not lead to an ejection. */
	FAULT_ACCOUNT,
	FAULT_POOL_SLOW,
	FAULT_POOL_ERRORS,
	FAULT_ZONE_SLOW,
	FAULT_SHEDDING,
	FAULT_SILENT,
	FAULT_COLD_START,
	FAULT_COUNT
};

static const char *const model_fault_string[] = {
	"none",		"slow x3",	 "slow x5",	 "one class slow x8",
	"30% errors",	"30% truncated", "hanging",	 "dead",
	"flapping",	"one account",	 "pool slow x5", "pool 30% errors",
	"zone slow x5", "shedding",	 "silent",	 "cold start",
};

/* A request or probe that ends at @at_us with @outcome. */
struct model_event {
	int64_t at_us;
	struct bb_health_outcome outcome;
};

struct model;

/* A node with the open connections to its backend server. */
struct model_node {
	struct model *m;
	struct bb_health *health;
	bool permit; /* holds a permit to eject */
	int64_t opened_us[MODEL_CONNECTIONS]; /* oldest first */
	size_t connections_nr;
};

/* The pool, its traffic and its fault. */
struct model {
	GRand *rand;
	int64_t now_us;
	size_t nr; /* backend servers */
	double rate; /* requests a second and backend server */
	enum model_fault fault;
	int64_t fault_us; /* start */
	int64_t fault_end_us;
	bool connected; /* summaries are exchanged */
	/*
	 * If not 0, median latency of all requests, instead of one for bookings
	 * and one for lookups.
	 */
	double median_us;
	/* Share of the time in which a host answers 3 to 10 ms later. */
	double noise_share;
	bool noise_on_one_host; /* at a time, each for 10 s */
	uint32_t permits_max;
	unsigned int probes; /* sent */
	unsigned int summary_requests; /* due, also while not connected */
	struct bb_backend backends[MODEL_BACKENDS_MAX];
	struct bb_host hosts[MODEL_BACKENDS_MAX];
	char names[MODEL_BACKENDS_MAX][8];
	uint32_t handles[MODEL_BACKENDS_MAX];
	struct bb_service service;
	struct bb_config config;
	struct model_node nodes[MODEL_BACKENDS_MAX];
	GArray *events; /* struct model_event, unordered */
	void (*on_outcome)(void *data, const struct bb_health_outcome *o,
			   int64_t now_us);
	void (*on_summary)(void *data, const struct bb_pool_summary *s,
			   size_t nr);
	void *data;
};

/*
 * Grants at most permits_max permits, without messages between nodes. The
 * protocol of permits has its own tests.
 */
static inline int64_t model_permit_until(void *data, const char *service,
					 const char *backend, bool want,
					 int64_t now_us)
{
	struct model_node *n = (struct model_node *)data;
	unsigned int out = 0;

	(void)service;
	(void)backend;
	for (size_t i = 0; i < n->m->nr; i++)
		out += n->m->nodes[i].permit;
	n->permit = want && (n->permit || out < n->m->permits_max);
	return n->permit ? now_us + BB_PERMIT_TERM_US : now_us;
}

static inline void model_set_config(struct model *m)
{
	for (size_t i = 0; i < m->nr; i++)
		bb_health_set_config(m->nodes[i].health, &m->config, m->now_us);
}

/* @observe_only: as in struct bb_health_options */
static inline void model_init_as(struct model *m, size_t nr, double rate,
				 uint32_t seed, bool observe_only)
{
	memset(m, 0, sizeof(*m));
	m->rand = g_rand_new_with_seed(seed);
	m->now_us = 1000 * BB_US_PER_S;
	m->nr = nr;
	m->rate = rate;
	m->fault_us = INT64_MAX;
	m->fault_end_us = INT64_MAX;
	m->connected = true;
	m->events = g_array_new(FALSE, FALSE, sizeof(struct model_event));
	for (size_t i = 0; i < nr; i++) {
		snprintf(m->names[i], sizeof(m->names[i]), "b%02u",
			 (unsigned int)i);
		m->handles[i] = (uint32_t)i;
		m->hosts[i].zone_id = i % MODEL_ZONES;
		m->backends[i].name = m->names[i];
		m->backends[i].host = (uint32_t)i;
		m->backends[i].weight = 1;
		m->backends[i].slots = 5;
	}
	m->service.name = (char *)"orders";
	m->service.floor_percent = 60;
	m->service.backends = m->handles;
	m->service.backends_nr = nr;
	m->config.automation = true;
	m->config.services = &m->service;
	m->config.services_nr = 1;
	m->config.backends = m->backends;
	m->config.backends_nr = nr;
	m->config.hosts = m->hosts;
	m->config.hosts_nr = nr;
	m->permits_max = bb_permit_max_ejections(&m->config, 0);
	for (size_t i = 0; i < nr; i++) {
		struct bb_health_options o;

		memset(&o, 0, sizeof(o));
		m->nodes[i].m = m;
		o.host = (uint32_t)i;
		o.permit_until = model_permit_until;
		o.data = &m->nodes[i];
		o.observe_only = observe_only;
		m->nodes[i].health = bb_health_new(&o);
	}
	model_set_config(m);
}

static inline void model_init(struct model *m, size_t nr, double rate,
			      uint32_t seed)
{
	model_init_as(m, nr, rate, seed, false);
}

static inline void model_finish(struct model *m)
{
	for (size_t i = 0; i < m->nr; i++)
		bb_health_delete(m->nodes[i].health);
	g_array_unref(m->events);
	g_rand_free(m->rand);
}

static inline double model_normal(struct model *m)
{
	double u = 1 - g_rand_double(m->rand), v = g_rand_double(m->rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

/* Draws a client account; few send most of the requests. */
static inline uint32_t model_account(struct model *m)
{
	static const double shares[MODEL_ACCOUNTS] = { .3,  .25, .2,  .1,
						       .05, .04, .03, .03 };
	double x = g_rand_double(m->rand);
	uint32_t i = 0;

	while (i < MODEL_ACCOUNTS - 1 && x >= shares[i])
		x -= shares[i++];
	return i;
}

static inline bool model_is_affected(const struct model *m, uint32_t backend)
{
	int64_t since_us = m->now_us - m->fault_us;

	if (since_us < 0 || m->now_us >= m->fault_end_us)
		return false;
	switch (m->fault) {
	case FAULT_ACCOUNT:
	case FAULT_POOL_SLOW:
	case FAULT_POOL_ERRORS:
		return true;
	case FAULT_ZONE_SLOW:
		return m->backends[backend].host % MODEL_ZONES == 0;
	case FAULT_FLAPPING:
		return !backend && since_us / (10 * BB_US_PER_S) % 2 == 0;
	default:
		return !backend;
	}
}

static inline double model_latency_factor(const struct model *m,
					  uint32_t class_id)
{
	int64_t since_us = m->now_us - m->fault_us;

	switch (m->fault) {
	case FAULT_SLOW_3:
		return 3;
	case FAULT_SLOW_5:
	case FAULT_POOL_SLOW:
	case FAULT_ZONE_SLOW:
		return 5;
	case FAULT_SLOW_ONE_CLASS:
		return class_id == 1 ? 8 : 1;
	case FAULT_COLD_START:
		return since_us < 9 * BB_US_PER_S ? 4 : 1;
	default:
		return 1;
	}
}

static inline enum bb_outcome_kind
model_outcome_kind(struct model *m, const struct bb_health_outcome *o)
{
	bool probe = o->class_id == BB_HEALTH_CLASS_PROBE;
	bool selected = g_rand_double(m->rand) < 0.3;

	switch (m->fault) {
	case FAULT_ERRORS_30:
	case FAULT_POOL_ERRORS:
		/* Probes of the health endpoint do not see the errors. */
		return selected && !probe ? BB_OUTCOME_ERROR : BB_OUTCOME_OK;
	case FAULT_TRUNCATED_30:
		return selected && !probe ? BB_OUTCOME_TRUNCATED :
					    BB_OUTCOME_OK;
	case FAULT_HANGING:
		return BB_OUTCOME_TIMEOUT;
	case FAULT_DEAD:
	case FAULT_FLAPPING:
		return BB_OUTCOME_CONNECT_FAILURE;
	case FAULT_ACCOUNT:
		return !probe && !o->account ? BB_OUTCOME_ERROR : BB_OUTCOME_OK;
	case FAULT_SHEDDING:
		return selected && !probe ? BB_OUTCOME_SHED : BB_OUTCOME_OK;
	case FAULT_COLD_START:
		return m->now_us - m->fault_us < BB_US_PER_S / 2 ?
			       BB_OUTCOME_CONNECT_FAILURE :
			       BB_OUTCOME_OK;
	default:
		return BB_OUTCOME_OK;
	}
}

/*
 * Scheduling noise: a busy host delays all requests sent in the same interval
 * of MODEL_NOISE_SLOT_US. Whether it is busy comes from a hash of host and time
 * instead of the generator, so that runs without noise draw the same outcomes.
 */
static inline double model_noise_us(struct model *m, uint32_t backend)
{
	uint64_t slot = (uint64_t)(m->now_us / MODEL_NOISE_SLOT_US);
	uint64_t x =
		(slot << 8 | backend) * G_GUINT64_CONSTANT(0x9e3779b97f4a7c15);

	if (!m->noise_share ||
	    (m->noise_on_one_host &&
	     m->now_us / (10 * BB_US_PER_S) % (int64_t)m->nr != backend))
		return 0;
	x = (x ^ x >> 29) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	x ^= x >> 32;
	if ((double)(x % 10000) >= 1e4 * m->noise_share)
		return 0;
	return 3e3 + 7e3 * g_rand_double(m->rand);
}

/*
 * Picks the connection of a request: a new one, or one of the open ones. A
 * restart of the backend server closes all, so the next request opens one.
 */
static inline void model_connect(struct model *m, uint32_t backend,
				 struct bb_health_outcome *o)
{
	struct model_node *n = &m->nodes[backend];

	if (m->fault == FAULT_COLD_START && model_is_affected(m, backend) &&
	    n->connections_nr && n->opened_us[0] < m->fault_us)
		n->connections_nr = 0;
	o->new_connection |= !n->connections_nr;
	if (!o->new_connection) {
		o->opened_us =
			n->opened_us[(size_t)(m->now_us / MODEL_STEP_US) %
				     n->connections_nr];
		return;
	}
	o->opened_us = m->now_us;
	if (n->connections_nr == MODEL_CONNECTIONS)
		memmove(n->opened_us, n->opened_us + 1,
			--n->connections_nr * sizeof(*n->opened_us));
	n->opened_us[n->connections_nr++] = m->now_us;
}

/* Sends a request or probe; its outcome is delivered when it ends. */
static inline void model_send(struct model *m, uint32_t backend, bool probe)
{
	struct model_event e;
	double latency_us, chance = g_rand_double(m->rand);
	bool affected = model_is_affected(m, backend);
	int64_t limit_us = probe ? MODEL_PROBE_TIMEOUT_US : MODEL_TIMEOUT_US;

	memset(&e, 0, sizeof(e));
	e.outcome.backend = backend;
	e.outcome.new_connection = probe || g_rand_double(m->rand) < 0.05;
	e.outcome.account = probe ? BB_HEALTH_NO_ACCOUNT : model_account(m);
	e.outcome.class_id = probe ? BB_HEALTH_CLASS_PROBE :
				     (uint32_t)(g_rand_double(m->rand) < 0.6);
	/* Log-normal. Median of probes 25 ms, lookups 15 ms, bookings 40 ms. */
	latency_us = (probe		 ? 25e3 :
		      e.outcome.class_id ? 15e3 :
					   40e3) *
		     exp((probe ? 0.2 : 0.5) * model_normal(m));
	if (m->median_us > 0 && !probe)
		latency_us = m->median_us * exp(0.2 * model_normal(m));
	e.outcome.kind = chance < 0.002 ? BB_OUTCOME_ERROR :
			 chance < 0.012 ? BB_OUTCOME_CLIENT_ERROR :
					  BB_OUTCOME_OK;
	if (affected) {
		enum bb_outcome_kind kind = model_outcome_kind(m, &e.outcome);

		latency_us *= model_latency_factor(m, e.outcome.class_id);
		if (kind != BB_OUTCOME_OK)
			e.outcome.kind = kind;
		/*
		 * Requests on connections that were open when the fault began
		 * get no answer.
		 */
		if (m->fault == FAULT_SILENT && !e.outcome.new_connection &&
		    m->now_us - m->fault_us < 300 * BB_US_PER_MS)
			e.outcome.kind = BB_OUTCOME_SILENT_CONNECTION;
	}
	latency_us += model_noise_us(m, backend);
	if (e.outcome.kind == BB_OUTCOME_CONNECT_FAILURE) {
		latency_us = 1e3;
		e.outcome.new_connection = true;
	} else if (!probe) {
		model_connect(m, backend, &e.outcome);
	}
	if (e.outcome.kind == BB_OUTCOME_TIMEOUT ||
	    e.outcome.kind == BB_OUTCOME_SILENT_CONNECTION ||
	    latency_us > (double)limit_us) {
		if (e.outcome.kind != BB_OUTCOME_SILENT_CONNECTION)
			e.outcome.kind = BB_OUTCOME_TIMEOUT;
		latency_us = (double)limit_us;
	}
	e.outcome.latency_us = (int64_t)latency_us;
	e.at_us = m->now_us + e.outcome.latency_us;
	g_array_append_val(m->events, e);
}

/* Reports the outcomes of requests and probes that have ended. */
static inline void model_deliver(struct model *m)
{
	for (guint i = 0; i < m->events->len;) {
		struct model_event e =
			g_array_index(m->events, struct model_event, i);

		if (e.at_us > m->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(m->events, i);
		bb_health_observe(m->nodes[e.outcome.backend].health,
				  &e.outcome, m->now_us);
		if (m->on_outcome)
			m->on_outcome(m->data, &e.outcome, m->now_us);
	}
}

/* Answers the summary requests of a node that are due. */
static inline void model_exchange(struct model *m, size_t node)
{
	struct bb_pool_summary s[BB_HEALTH_CLASSES];
	uint32_t b;

	while ((b = bb_health_summary_due(m->nodes[node].health, m->now_us)) !=
	       BB_NO_ROW) {
		m->summary_requests++;
		if (!m->connected)
			continue;
		size_t nr = bb_health_pool_summary(m->nodes[b].health, 0, s,
						   G_N_ELEMENTS(s), m->now_us);

		if (m->on_summary)
			m->on_summary(m->data, s, nr);
		for (size_t i = 0; i < nr; i++)
			bb_health_set_pool_summary(m->nodes[node].health, &s[i],
						   m->now_us);
	}
}

static inline void model_step(struct model *m)
{
	m->now_us += MODEL_STEP_US;
	model_deliver(m);
	for (size_t i = 0; i < m->nr; i++) {
		double load = m->rate * MODEL_STEP_US / BB_US_PER_S;

		/* One draw is enough: less than one request a step. */
		if (g_rand_double(m->rand) < load &&
		    bb_health_admit(m->nodes[i].health, (uint32_t)i, true,
				    m->now_us))
			model_send(m, (uint32_t)i, false);
	}
	if (m->now_us % MODEL_TICK_US)
		return;
	for (size_t i = 0; i < m->nr; i++) {
		bb_health_tick(m->nodes[i].health, m->now_us);
		if (bb_health_probe_due(m->nodes[i].health, m->now_us) !=
		    BB_NO_ROW) {
			m->probes++;
			model_send(m, (uint32_t)i, true);
		}
		model_exchange(m, i);
	}
}

/* Whether the adjacent node of backend server @i has ejected it. */
static inline bool model_ejected(const struct model *m, size_t i)
{
	enum bb_health_state s =
		bb_health_state(m->nodes[i].health, (uint32_t)i, m->now_us);

	return s == BB_HEALTH_EJECTED || s == BB_HEALTH_TRIAL;
}

#endif
