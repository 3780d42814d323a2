#include "baobabward/balance.h"

#include <ck_pr.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "baobabward/clock.h"

#define DEFAULT_ZONE_PENALTY 0.25
/* About one service time: a request that was running at the report has ended
 * on average. With 200 ms, reports 101 ms old raised the p99 at 25 equal
 * servers from 106 to 116 ms. */
#define DEFAULT_STALE_US (20 * BB_US_PER_MS)
/* Random draws before all backend servers are scanned. With half of the pool
 * not eligible, 0.4% of the choices scan. */
#define DRAWS_MAX 8
/* Share of a new report in the mean load of the pool. */
#define MEAN_SHARE 0.05
/* Fixed point of loads in atomic words. */
#define LOAD_UNIT 1024

/**
 * struct bb_path - what this node knows of one backend server.
 * @refs: balances and requests that use it
 * @in_flight: own requests
 * @others: last reported load of others, in LOAD_UNITs of a slot
 * @reported_us: time of the report, 0 if there was none
 * @hint_until_us: avoid until then, as the adjacent node asked
 * @avoid_until_us: avoid until then, because of own timeouts
 * @leaving: the host leaves
 * @silent: avoided by bb_balance_filter_paths()
 */
struct bb_path {
	uint32_t refs;
	uint32_t in_flight;
	uint64_t others;
	uint64_t reported_us;
	uint64_t hint_until_us;
	uint64_t avoid_until_us;
	uint32_t leaving;
	uint32_t silent;
	char *name;
};

/* One backend server of the pool. The alias method draws by weight in
 * constant time: draw @keep with probability @threshold, else @alias. */
struct member {
	struct bb_path *path;
	uint32_t backend;
	uint32_t host;
	uint32_t slots;
	uint32_t alias;
	double threshold;
	double weight;
	double penalty;
	bool in;
};

struct bb_balance {
	struct member *members;
	size_t members_nr;
	/* Indexes of the members in the own zone. */
	uint32_t *locals;
	size_t locals_nr;
	double local_max_load;
	GHashTable *by_name;
	double weight;
	/* Some member may be marked as silent. */
	bool filtered;
	uint32_t floor_percent;
	int64_t stale_us;
	uint64_t seed;
	uint64_t draws;
	uint64_t mean_load;
};

static void path_unref(struct bb_path *p)
{
	bool zero;

	ck_pr_fence_release();
	ck_pr_dec_32_zero(&p->refs, &zero);
	if (!zero)
		return;
	ck_pr_fence_acquire();
	g_free(p->name);
	g_free(p);
}

/* splitmix64 of a shared counter: one atomic addition for each number, and
 * the same sequence for the same seed on one thread. */
static uint64_t next_random(struct bb_balance *b)
{
	uint64_t x = b->seed +
		     (ck_pr_faa_64(&b->draws, 1) + 1) * 0x9e3779b97f4a7c15u;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static struct bb_path *take_path(const struct bb_balance *previous,
				 const char *name)
{
	struct bb_path *p = NULL;

	if (previous)
		p = g_hash_table_lookup(previous->by_name, name);
	if (p) {
		ck_pr_inc_32(&p->refs);
		return p;
	}
	p = g_new0(struct bb_path, 1);
	p->refs = 1;
	p->name = g_strdup(name);
	return p;
}

/* Vose's alias method. Members that are not "in" have weight 0. */
static void build_alias(struct bb_balance *b)
{
	size_t n = b->members_nr;
	uint32_t *small = g_new(uint32_t, n);
	uint32_t *large = g_new(uint32_t, n);
	size_t small_nr = 0;
	size_t large_nr = 0;

	for (uint32_t i = 0; i < n; i++) {
		struct member *m = &b->members[i];

		m->threshold = m->weight * (double)n / b->weight;
		m->alias = i;
		if (m->threshold < 1)
			small[small_nr++] = i;
		else
			large[large_nr++] = i;
	}
	while (small_nr && large_nr) {
		struct member *s = &b->members[small[--small_nr]];
		struct member *l = &b->members[large[large_nr - 1]];

		s->alias = large[large_nr - 1];
		l->threshold -= 1 - s->threshold;
		if (l->threshold < 1)
			small[small_nr++] = large[--large_nr];
	}
	/* Rounding may leave members a little below 1. A member without
	 * weight can only be left over through rounding as well, and is
	 * rejected when drawn. */
	while (large_nr)
		b->members[large[--large_nr]].threshold = 1;
	while (small_nr) {
		struct member *m = &b->members[small[--small_nr]];

		if (m->alias == (uint32_t)(m - b->members))
			m->threshold = 1;
	}
	g_free(small);
	g_free(large);
}

static void add_member(struct bb_balance *b, const struct bb_balance_options *o,
		       uint32_t handle)
{
	const struct bb_backend *row = &o->config->backends[handle];
	const struct bb_host *host = &o->config->hosts[row->host];
	struct member *m = &b->members[b->members_nr++];

	m->backend = handle;
	m->host = row->host;
	m->slots = MAX(row->slots, 1);
	m->in = row->state == BB_BACKEND_IN && row->weight > 0;
	m->weight = m->in ? row->weight : 0;
	m->path = take_path(o->previous, row->name);
	if (host->zone_id == o->zone_id)
		b->locals[b->locals_nr++] = (uint32_t)(b->members_nr - 1);
	else
		m->penalty = o->zone_penalty < 0 ? DEFAULT_ZONE_PENALTY :
						   o->zone_penalty;
	b->weight += m->weight;
	g_hash_table_insert(b->by_name, m->path->name, m->path);
}

struct bb_balance *bb_balance_new(const struct bb_balance_options *o)
{
	const struct bb_service *s = &o->config->services[o->service];
	struct bb_balance *b = g_new0(struct bb_balance, 1);

	b->members = g_new0(struct member, s->backends_nr);
	b->locals = g_new0(uint32_t, s->backends_nr);
	b->local_max_load = o->local_max_load;
	b->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	b->floor_percent = s->floor_percent;
	b->stale_us = o->stale_us ? o->stale_us : DEFAULT_STALE_US;
	b->seed = o->seed;
	if (o->previous) {
		b->mean_load = ck_pr_load_64(&o->previous->mean_load);
		b->filtered = o->previous->filtered;
	}
	for (size_t i = 0; i < s->backends_nr; i++)
		add_member(b, o, s->backends[i]);
	if (b->weight > 0)
		build_alias(b);
	return b;
}

void bb_balance_delete(struct bb_balance *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->by_name);
	for (size_t i = 0; i < b->members_nr; i++)
		path_unref(b->members[i].path);
	g_free(b->members);
	g_free(b->locals);
	g_free(b);
}

static bool hinted(const struct member *m, int64_t now_us)
{
	return (int64_t)ck_pr_load_64(&m->path->hint_until_us) > now_us;
}

static bool avoided(const struct member *m, int64_t now_us)
{
	return (int64_t)ck_pr_load_64(&m->path->avoid_until_us) > now_us ||
	       ck_pr_load_32(&m->path->silent);
}

/* @last_resort: accept a path that only this node avoids. */
static bool eligible(const struct member *m, const uint32_t *excluded,
		     size_t excluded_nr, bool last_resort, int64_t now_us)
{
	if (!m->in || ck_pr_load_32(&m->path->leaving) || hinted(m, now_us))
		return false;
	if (!last_resort && avoided(m, now_us))
		return false;
	for (size_t i = 0; i < excluded_nr; i++)
		if (excluded[i] == m->backend)
			return false;
	return true;
}

/* Estimated load in filled backend servers, divided by the relative weight. */
static double score(const struct bb_balance *b, const struct member *m,
		    int64_t now_us)
{
	double mean = (double)ck_pr_load_64(&b->mean_load) / LOAD_UNIT;
	uint64_t at = ck_pr_load_64(&m->path->reported_us);
	double others = mean * m->slots;
	double own = ck_pr_load_32(&m->path->in_flight);
	double weight = m->weight * (double)b->members_nr / b->weight;

	if (at) {
		double age = fmax((double)(now_us - (int64_t)at), 0);
		double fresh =
			(double)b->stale_us / ((double)b->stale_us + age);
		double seen =
			(double)ck_pr_load_64(&m->path->others) / LOAD_UNIT;

		others += fresh * (seen - others);
	}
	return (own + others) / (m->slots * weight) + m->penalty;
}

static struct member *draw(struct bb_balance *b)
{
	uint64_t r = next_random(b);
	uint32_t i = (uint32_t)(((r >> 32) * b->members_nr) >> 32);
	struct member *m = &b->members[i];

	if ((double)(uint32_t)r < m->threshold * 4294967296.0)
		return m;
	return &b->members[m->alias];
}

static struct member *lower(const struct bb_balance *b, struct member *x,
			    struct member *y, int64_t now_us)
{
	if (!x || !y)
		return x ? x : y;
	return score(b, y, now_us) < score(b, x, now_us) ? y : x;
}

/* Lowest load of all eligible members, for pools where draws found none.
 * Starts at a random member, so that equal ones share the requests. */
static struct member *scan(struct bb_balance *b, const uint32_t *excluded,
			   size_t excluded_nr, bool last_resort, int64_t now_us)
{
	struct member *best = NULL;
	size_t start = next_random(b) % b->members_nr;

	for (size_t i = 0; i < b->members_nr; i++) {
		struct member *m = &b->members[(start + i) % b->members_nr];

		if (eligible(m, excluded, excluded_nr, last_resort, now_us))
			best = lower(b, best, m, now_us);
	}
	return best;
}

static struct bb_choice take(struct member *m)
{
	ck_pr_inc_32(&m->path->refs);
	ck_pr_inc_32(&m->path->in_flight);
	return (struct bb_choice){ m->backend, m->path };
}

/* The lower of two in the own zone, if its load is not above the limit. */
static struct member *choose_local(struct bb_balance *b,
				   const uint32_t *excluded, size_t excluded_nr,
				   int64_t now_us)
{
	struct member *best = NULL;

	for (int i = 0; i < 2 && b->locals_nr; i++) {
		uint32_t at = b->locals[next_random(b) % b->locals_nr];
		struct member *m = &b->members[at];

		if (eligible(m, excluded, excluded_nr, false, now_us))
			best = lower(b, best, m, now_us);
	}
	return best && score(b, best, now_us) <= b->local_max_load ? best :
								     NULL;
}

struct bb_choice bb_balance_choose(struct bb_balance *b,
				   const uint32_t *excluded, size_t excluded_nr,
				   int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *first = NULL;
	struct member *second = NULL;

	if (!(b->weight > 0))
		return none;
	if (b->local_max_load > 0 && !excluded_nr)
		first = choose_local(b, excluded, excluded_nr, now_us);
	if (first)
		return take(first);
	for (int i = 0; i < DRAWS_MAX && !second; i++) {
		struct member *m = draw(b);

		if (m == first ||
		    !eligible(m, excluded, excluded_nr, false, now_us))
			continue;
		if (!first)
			first = m;
		else
			second = m;
	}
	first = lower(b, first, second, now_us);
	if (!first)
		first = scan(b, excluded, excluded_nr, false, now_us);
	if (!first)
		first = scan(b, excluded, excluded_nr, true, now_us);
	return first ? take(first) : none;
}

struct bb_choice bb_balance_choose_least_loaded(struct bb_balance *b,
						const uint32_t *excluded,
						size_t excluded_nr,
						int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *best;

	if (!b->members_nr)
		return none;
	best = scan(b, excluded, excluded_nr, false, now_us);
	if (!best)
		best = scan(b, excluded, excluded_nr, true, now_us);
	return best ? take(best) : none;
}

struct bb_choice bb_balance_choose_any(struct bb_balance *b, int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *best = NULL;
	size_t start = b->members_nr ? next_random(b) % b->members_nr : 0;

	for (size_t i = 0; i < b->members_nr; i++) {
		struct member *m = &b->members[(start + i) % b->members_nr];

		if (m->in && !ck_pr_load_32(&m->path->leaving) &&
		    !avoided(m, now_us))
			best = lower(b, best, m, now_us);
	}
	return best ? take(best) : none;
}

static struct member *find_member(struct bb_balance *b,
				  const struct bb_path *path)
{
	for (size_t i = 0; i < b->members_nr; i++)
		if (b->members[i].path == path)
			return &b->members[i];
	return NULL;
}

struct bb_path *bb_balance_path(struct bb_balance *b, uint32_t backend)
{
	for (size_t i = 0; i < b->members_nr; i++)
		if (b->members[i].backend == backend)
			return b->members[i].path;
	return NULL;
}

void bb_balance_report(struct bb_balance *b, struct bb_path *path,
		       const struct bb_load *load, int64_t now_us)
{
	uint64_t total = (uint64_t)load->in_flight + load->queued;
	uint64_t own = ck_pr_load_32(&path->in_flight);
	uint64_t others = total > own ? (total - own) * LOAD_UNIT : 0;
	double mean = (double)ck_pr_load_64(&b->mean_load);
	int64_t avoid_us = MIN(load->avoid_for_us, BB_BALANCE_HINT_MAX_US);

	ck_pr_store_64(&path->others, others);
	ck_pr_store_64(&path->reported_us, (uint64_t)MAX(now_us, 1));
	ck_pr_store_64(&path->hint_until_us,
		       avoid_us > 0 ? (uint64_t)(now_us + avoid_us) : 0);
	/* An update lost to another thread does not matter for a mean. */
	mean += MEAN_SHARE * ((double)others / MAX(load->slots, 1) - mean);
	ck_pr_store_64(&b->mean_load, (uint64_t)mean);
}

bool bb_balance_avoid(struct bb_balance *b, struct bb_path *path,
		      int64_t until_us, int64_t now_us)
{
	struct member *self = find_member(b, path);
	double left = 0;

	if (!self)
		return false;
	for (size_t i = 0; i < b->members_nr; i++) {
		struct member *m = &b->members[i];

		if (m != self && eligible(m, NULL, 0, false, now_us))
			left += m->weight;
	}
	if (!(left > 0) || left * 100 < b->weight * b->floor_percent)
		return false;
	ck_pr_store_64(&path->avoid_until_us, (uint64_t)until_us);
	return true;
}

void bb_balance_filter_paths(struct bb_balance *b, const struct bb_paths *paths,
			     bool keep_floor, int64_t now_us)
{
	bool any = bb_paths_any_avoided(paths, now_us);
	struct bb_path_candidate *c;
	bool *avoid;

	if (!any && !b->filtered)
		return;
	c = g_new0(struct bb_path_candidate, b->members_nr + 1);
	avoid = g_new0(bool, b->members_nr + 1);
	for (size_t i = 0; i < b->members_nr; i++) {
		struct member *m = &b->members[i];

		ck_pr_store_32(&m->path->silent, 0);
		c[i].host = m->host;
		c[i].weight = m->weight;
		c[i].ineligible = !eligible(m, NULL, 0, false, now_us);
	}
	bb_paths_filter(paths, c, b->members_nr,
			keep_floor ? b->floor_percent : 0, avoid, now_us);
	for (size_t i = 0; i < b->members_nr; i++)
		ck_pr_store_32(&b->members[i].path->silent, avoid[i]);
	b->filtered = any;
	g_free(c);
	g_free(avoid);
}

void bb_balance_set_leaving(struct bb_balance *b, uint32_t host, bool leaving)
{
	for (size_t i = 0; i < b->members_nr; i++)
		if (b->members[i].host == host)
			ck_pr_store_32(&b->members[i].path->leaving, leaving);
}

void bb_path_release(struct bb_path *path)
{
	ck_pr_dec_32(&path->in_flight);
	path_unref(path);
}

uint32_t bb_path_in_flight(const struct bb_path *path)
{
	return ck_pr_load_32(&path->in_flight);
}
