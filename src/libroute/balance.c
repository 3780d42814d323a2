#include "baobabward/balance.h"

#include <ck_pr.h>
#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/cost.h"

#define DEFAULT_ZONE_PENALTY 0.25
/* About one service time, after which a request that was running at the time of
 * the report has ended on average. With 200 ms, reports that were 101 ms old
 * raised the p99 with 25 equal backend servers from 106 to 116 ms. */
#define DEFAULT_STALE_US (20 * BB_US_PER_MS)
/* Random draws before all backend servers are scanned. If half of the pool is
 * not eligible, 0.4% of the choices need the scan. */
#define DRAWS_MAX 8
/* A subset is this part of a pool, and at least the size in the options. */
#define SUBSET_DIVISOR 8
/* Interval at which the subset is adapted to the members that can be chosen. */
#define SUBSET_INTERVAL_US (100 * BB_US_PER_MS)
/* Weight of a new report in the moving average of the pool's load. */
#define MEAN_LOAD_GAIN 0.05
/* Weight of a new report in the moving averages of the placement by cost. Each
 * zone has its own, for which a node hears of a few requests per second. */
#define ZONE_LOAD_GAIN 0.1
#define SPEED_GAIN 0.05
#define WORK_GAIN 0.05
/* Largest factor by which a speed, or the cost of own requests, changes an
 * estimate. A wrong one then costs no more than a load that is wrong by as
 * much. */
#define ESTIMATE_MAX_FACTOR 2.0
/* The same for the work in a report. All nodes that hear of little work send
 * there: with reports every 200 ms at 95% load, 1.4% of the requests were late
 * with a factor of 2, and 1.1% with this one. */
#define WORK_MAX_FACTOR 1.25
/* Age at which a reported speed has half of its weight. A backend server is slow
 * for many seconds; a fleet of 95 nodes hears of one every 10 s. */
#define SPEED_STALE_US (5 * BB_US_PER_S)
/* Wait that has to be saved for each byte that crosses zones: 0.9 s for a
 * response of 90 KB, the size of downloads, so that these move only if the own
 * zone is short of capacity; 10 ms for 1 KB, less than the zone penalty. */
#define ZONE_US_PER_BYTE 10
/* Size up to which a request is placed as one without a size. */
#define SMALL_BYTES 8192
/* Share of the time that a request can wait and still meet its target latency,
 * above which the bytes no longer count: the estimate of a wait is the mean of a
 * time that varies as much as itself. */
#define URGENT_WAIT_SHARE 0.5
/* Scale of the fixed-point loads, which are kept in integers for atomic access:
 * 1.0 is LOAD_UNIT. */
#define LOAD_UNIT 1024

/**
 * struct bb_path - what this node knows about one backend server.
 * @refs: number of balances and requests that use it
 * @in_flight: this node's own requests in flight
 * @others_load: slots used and requests queued by other nodes at the last
 *               report, in units of 1/LOAD_UNIT
 * @slots: slots in use at the last report
 * @reported_us: time of the report, 0 if there was none
 * @work_us: reported work, 0 if unknown
 * @requests: running and waiting requests that @work_us counts
 * @speed: reported speed in thousandths, 0 if unknown
 * @own_work_us: expected time of this node's own requests in flight
 * @hint_until_us: end of the time for which the adjacent node asked to be
 *                 avoided
 * @avoid_until_us: end of the time set by bb_balance_avoid()
 * @leaving: whether the host is leaving
 * @said_leaving: whether the backend server said that it is leaving
 * @silent: whether bb_balance_filter_paths() avoids it
 * @local: whether it is in this node's availability zone
 * @name: name of the backend server
 */
struct bb_path {
	uint32_t refs;
	uint32_t in_flight;
	uint64_t others_load;
	uint32_t slots;
	uint64_t reported_us;
	uint64_t work_us;
	uint32_t requests;
	uint32_t speed;
	uint64_t own_work_us;
	uint64_t hint_until_us;
	uint64_t avoid_until_us;
	uint32_t leaving;
	uint32_t said_leaving;
	uint32_t silent;
	uint32_t local;
	char *name;
};

/**
 * struct member - one backend server of the pool.
 * @backend: handle of the backend server
 * @host: handle of its host
 * @alias: index of the member that the alias method draws instead of this one
 *         with probability 1 - @threshold
 * @threshold: probability with which this member is kept when drawn
 * @weight: configured weight, 0 if not in use
 * @penalty: load added because of its availability zone
 * @rank: position in the order of this node's subset, by a hash
 * @local: in this node's availability zone
 * @in: the configuration has it in use, with a weight above 0
 */
struct member {
	struct bb_path *path;
	uint32_t backend;
	uint32_t host;
	uint32_t slots;
	uint32_t alias;
	double threshold;
	double weight;
	double penalty;
	uint64_t rank;
	bool local;
	bool in;
};

/**
 * struct bb_balance - load balancer of one service.
 * @locals: indexes of the members in this node's availability zone, in the order
 *          of the subset
 * @order: indexes of all members in the order of the subset
 * @subset: number of members that can be chosen which the subset should have
 * @window: the subset is the first so many of @order
 * @local_window: and of @locals
 * @window_us: time at which both were last set
 * @max_weight: largest weight of a member
 * @local_max_load: see struct bb_balance_options
 * @paths_by_name: paths of the members by name of the backend server
 * @total_weight: sum of the weights of all members
 * @filtered: some member may be marked as silent
 * @floor_percent: share of @total_weight that remains eligible when paths are
 *                 avoided
 * @stale_us: age at which a report has half of its weight
 * @draws: random numbers drawn so far
 * @mean_load: moving average of the load from other nodes per slot, in units of
 *             1/LOAD_UNIT
 * @zone_load: the same for the other zones and for this node's own, 0 if there
 *             was no report from there
 * @mean_work_us: moving average of the reported work per request, 0 if there was
 *                none
 * @mean_speed: moving average of the reported speeds in units of 1/LOAD_UNIT
 *              thousandths, 0 if there was none
 */
struct bb_balance {
	struct member *members;
	size_t members_nr;
	uint32_t *locals;
	size_t locals_nr;
	uint32_t *order;
	size_t subset;
	uint32_t window;
	uint32_t local_window;
	uint64_t window_us;
	double max_weight;
	double local_max_load;
	GHashTable *paths_by_name;
	double total_weight;
	bool filtered;
	uint32_t floor_percent;
	int64_t stale_us;
	uint64_t seed;
	uint64_t draws;
	uint64_t mean_load;
	uint64_t zone_load[2];
	uint64_t mean_work_us;
	uint64_t mean_speed;
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

/* splitmix64 of a shared counter: one atomic addition per number, and a
 * reproducible sequence for a given seed on one thread. */
static uint64_t next_random(struct bb_balance *b)
{
	uint64_t x = b->seed +
		     (ck_pr_faa_64(&b->draws, 1) + 1) * 0x9e3779b97f4a7c15u;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static struct bb_path *get_path(const struct bb_balance *previous,
				const char *name)
{
	struct bb_path *p = NULL;

	if (previous)
		p = g_hash_table_lookup(previous->paths_by_name, name);
	if (p) {
		ck_pr_inc_32(&p->refs);
		return p;
	}
	p = g_new0(struct bb_path, 1);
	p->refs = 1;
	p->name = g_strdup(name);
	return p;
}

/* Builds the tables of Vose's alias method, which draws by weight in constant
 * time. Members that are not "in" have weight 0. */
static void build_alias(struct bb_balance *b)
{
	size_t n = b->members_nr;
	uint32_t *small = g_new(uint32_t, n);
	uint32_t *large = g_new(uint32_t, n);
	size_t small_nr = 0;
	size_t large_nr = 0;

	for (uint32_t i = 0; i < n; i++) {
		struct member *m = &b->members[i];

		m->threshold = m->weight * (double)n / b->total_weight;
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
	/* Rounding errors may leave members a little below 1. A member without
	 * weight can only be left over because of rounding as well; it is not
	 * eligible when drawn. */
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

/* The backend server on this node's own host comes first. */
static uint64_t rank_of(const struct bb_balance_options *o,
			const struct bb_host *host, const char *backend)
{
	if (!o->subset || !strcmp(host->name, o->self))
		return 0;
	return XXH3_64bits_withSeed(backend, strlen(backend),
				    XXH3_64bits(o->self, strlen(o->self)));
}

static gint compare_ranks(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct bb_balance *of = data;
	const struct member *x = &of->members[*(const uint32_t *)a];
	const struct member *y = &of->members[*(const uint32_t *)b];

	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Orders the members for the subset: by rank, those of this node's availability
 * zone and the others by turns while there are both. */
static void build_order(struct bb_balance *b)
{
	uint32_t *ranked = g_new(uint32_t, b->members_nr);
	size_t nr[2] = { 0, 0 };
	size_t i;

	for (i = 0; i < b->members_nr; i++)
		ranked[i] = (uint32_t)i;
	g_qsort_with_data(ranked, (gint)b->members_nr, sizeof(*ranked),
			  compare_ranks, b);
	for (i = 0; i < b->members_nr; i++)
		if (b->members[ranked[i]].local)
			b->locals[b->locals_nr++] = ranked[i];
	/* The first of either kind goes to an even place of the common order. */
	for (i = 0; i < b->members_nr; i++) {
		bool local = b->members[ranked[i]].local;
		size_t others = local ? b->members_nr - b->locals_nr :
					b->locals_nr;
		size_t at = nr[local]++;

		b->order[at < others ? 2 * at + !local : at + others] =
			ranked[i];
	}
	g_free(ranked);
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
	m->in = row->state == BB_BACKEND_IN && row->weight > 0 &&
		!host->evacuated;
	m->weight = m->in ? row->weight : 0;
	m->path = get_path(o->previous, row->name);
	m->rank = rank_of(o, host, row->name);
	m->local = host->zone_id == o->zone_id;
	ck_pr_store_32(&m->path->local, m->local);
	if (!m->local)
		m->penalty = o->zone_penalty < 0 ? DEFAULT_ZONE_PENALTY :
						   o->zone_penalty;
	b->total_weight += m->weight;
	b->max_weight = MAX(b->max_weight, m->weight);
	g_hash_table_insert(b->paths_by_name, m->path->name, m->path);
}

struct bb_balance *bb_balance_new(const struct bb_balance_options *o)
{
	const struct bb_service *s = &o->config->services[o->service];
	struct bb_balance *b = g_new0(struct bb_balance, 1);

	b->members = g_new0(struct member, s->backends_nr);
	b->locals = g_new0(uint32_t, s->backends_nr);
	b->order = g_new0(uint32_t, s->backends_nr);
	b->local_max_load = o->local_max_load;
	b->paths_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	b->floor_percent = s->floor_percent;
	b->stale_us = o->stale_us ? o->stale_us : DEFAULT_STALE_US;
	b->seed = o->seed;
	if (o->previous) {
		b->mean_load = ck_pr_load_64(&o->previous->mean_load);
		b->zone_load[0] = ck_pr_load_64(&o->previous->zone_load[0]);
		b->zone_load[1] = ck_pr_load_64(&o->previous->zone_load[1]);
		b->mean_work_us = ck_pr_load_64(&o->previous->mean_work_us);
		b->mean_speed = ck_pr_load_64(&o->previous->mean_speed);
		b->filtered = o->previous->filtered;
	}
	for (size_t i = 0; i < s->backends_nr; i++)
		add_member(b, o, s->backends[i]);
	build_order(b);
	b->subset = o->subset ? MAX(o->subset, b->members_nr / SUBSET_DIVISOR) :
				b->members_nr;
	if (b->total_weight > 0)
		build_alias(b);
	return b;
}

void bb_balance_delete(struct bb_balance *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->paths_by_name);
	for (size_t i = 0; i < b->members_nr; i++)
		path_unref(b->members[i].path);
	g_free(b->members);
	g_free(b->locals);
	g_free(b->order);
	g_free(b);
}

static bool is_hinted(const struct member *m, int64_t now_us)
{
	return (int64_t)ck_pr_load_64(&m->path->hint_until_us) > now_us;
}

static bool is_leaving(const struct member *m)
{
	return ck_pr_load_32(&m->path->leaving) ||
	       ck_pr_load_32(&m->path->said_leaving);
}

static bool is_avoided(const struct member *m, int64_t now_us)
{
	return (int64_t)ck_pr_load_64(&m->path->avoid_until_us) > now_us ||
	       ck_pr_load_32(&m->path->silent);
}

/* Whether a member may be chosen. @last_resort: also if this node avoids its
 * path, but not if the adjacent node asked to be avoided. */
static bool is_eligible(const struct member *m, const uint32_t *excluded,
			size_t excluded_nr, bool last_resort, int64_t now_us)
{
	if (!m->in || is_leaving(m) || is_hinted(m, now_us))
		return false;
	if (!last_resort && is_avoided(m, now_us))
		return false;
	for (size_t i = 0; i < excluded_nr; i++)
		if (excluded[i] == m->backend)
			return false;
	return true;
}

/* Estimated load relative to the slots and to the weight, which is scaled to a
 * mean of 1, plus the penalty for another availability zone. */
static double estimated_load(const struct bb_balance *b, const struct member *m,
			     int64_t now_us)
{
	double mean = (double)ck_pr_load_64(&b->mean_load) / LOAD_UNIT;
	uint64_t at = ck_pr_load_64(&m->path->reported_us);
	double others = mean * m->slots;
	double slots = m->slots;
	double own = ck_pr_load_32(&m->path->in_flight);
	double weight = m->weight * (double)b->members_nr / b->total_weight;

	if (at) {
		double age = fmax((double)(now_us - (int64_t)at), 0);
		double fresh =
			(double)b->stale_us / ((double)b->stale_us + age);
		double seen = (double)ck_pr_load_64(&m->path->others_load) /
			      LOAD_UNIT;

		others += fresh * (seen - others);
		slots += fresh *
			 ((double)ck_pr_load_32(&m->path->slots) - slots);
	}
	return (own + others) / (slots * weight) + m->penalty;
}

/* Weight of a report: 1 if it is new, a half at the age @half_us. */
static double freshness(const struct bb_path *p, double half_us, int64_t now_us)
{
	uint64_t at = ck_pr_load_64(&p->reported_us);
	double age;

	if (!at)
		return 0;
	age = fmax((double)(now_us - (int64_t)at), 0);
	return half_us / (half_us + age);
}

static double bounded(double factor, double max)
{
	return fmin(fmax(factor, 1 / max), max);
}

/* Requests of mean cost that are as much work as those of the last report. Work
 * counts only where requests wait for a slot: a free slot is free beside long
 * requests, and none is free beside short ones. */
static double seen_requests(const struct bb_balance *b,
			    const struct bb_path *path)
{
	double others = (double)ck_pr_load_64(&path->others_load) / LOAD_UNIT;
	double requests = ck_pr_load_32(&path->requests);
	double slots = ck_pr_load_32(&path->slots);
	double work = (double)ck_pr_load_64(&path->work_us);
	double mean = (double)ck_pr_load_64(&b->mean_work_us);

	if (requests < slots || !(work > 0) || !(mean > 0))
		return others;
	return fmax(others * bounded(work / (requests * mean), WORK_MAX_FACTOR),
		    fmin(others, slots));
}

/* Load in requests of mean cost, relative to the slots and the weight. Without a
 * recent report, the one of the zone. */
static double load_by_work(const struct bb_balance *b, const struct member *m,
			   const struct bb_placement *p, int64_t now_us)
{
	const struct bb_path *path = m->path;
	uint64_t zone = ck_pr_load_64(&b->zone_load[m->local]);
	double mean = (double)(zone ? zone : ck_pr_load_64(&b->mean_load)) /
		      LOAD_UNIT;
	double half_us = (double)b->stale_us;
	double fresh = freshness(path, half_us, now_us);
	double in_flight = ck_pr_load_32(&path->in_flight);
	double own = (double)ck_pr_load_64(&path->own_work_us) /
		     (double)p->service_us;
	double others = mean * m->slots;
	double slots = m->slots;
	double weight = m->weight * (double)b->members_nr / b->total_weight;

	own = fmin(fmax(own, in_flight / ESTIMATE_MAX_FACTOR),
		   in_flight * ESTIMATE_MAX_FACTOR);
	if (fresh > 0) {
		others += fresh * (seen_requests(b, path) - others);
		slots += fresh * ((double)ck_pr_load_32(&path->slots) - slots);
	}
	return (own + others) / (slots * weight);
}

/* Speed relative to the mean of the reported ones. */
static double relative_speed(const struct bb_balance *b,
			     const struct bb_path *path, int64_t now_us)
{
	double mean = (double)ck_pr_load_64(&b->mean_speed) / LOAD_UNIT;
	double speed = ck_pr_load_32(&path->speed);

	if (!(mean > 0) || !(speed > 0))
		return 1;
	return 1 + freshness(path, SPEED_STALE_US, now_us) *
			   (bounded(speed / mean, ESTIMATE_MAX_FACTOR) - 1);
}

/* Expected wait for a slot. The load is a mean, so all slots may be taken while
 * it is below 1: with the probability of a pool of as many servers (Sakasegawa
 * 1977). From 1 on, the requests above it come first. */
static double expected_wait_us(const struct member *m, double load,
			       const struct bb_placement *p)
{
	double slots = m->slots;
	double all_taken = pow(fmin(load, 1), sqrt(2 * (slots + 1)));
	double wait =
		all_taken / fmax(2, slots * (1 - load)) + fmax(load - 1, 0);

	return wait * (double)p->service_us;
}

/**
 * struct forecast - what is expected of a request at one backend server.
 * @load: load in requests of mean cost per slot
 * @wait_us: wait for a slot
 * @run_us: time in the slot
 */
struct forecast {
	double load;
	double wait_us;
	double run_us;
};

static struct forecast forecast(const struct bb_balance *b,
				const struct member *m,
				const struct bb_placement *p, int64_t now_us)
{
	double speed = relative_speed(b, m->path, now_us);
	struct forecast f = { .load = load_by_work(b, m, p, now_us) };

	f.wait_us = expected_wait_us(m, f.load, p);
	f.run_us = (double)(p->cost_us ? p->cost_us : p->service_us) / speed;
	return f;
}

/* Wait that a request must save in another zone: that of the zone penalty, and
 * for a large one that of its bytes. */
static double zone_cost_us(const struct member *m, const struct bb_placement *p)
{
	double bytes_us = p->bytes > SMALL_BYTES ?
				  (double)p->bytes * ZONE_US_PER_BYTE :
				  0;

	return m->local ? 0 :
			  fmax(m->penalty * (double)p->service_us, bytes_us);
}

/* Whether the bytes no longer count, because the wait may make the request late.
 * One that is late in any case has time until its deadline. */
static bool is_urgent(const struct forecast *f, const struct bb_placement *p,
		      int64_t now_us)
{
	double left_us = (double)(p->target_us - now_us) - f->run_us;

	if (!p->target_us || left_us <= 0)
		left_us = (double)(p->deadline_us - now_us) - f->run_us;
	if (!p->target_us && !p->deadline_us)
		return false;
	return left_us > 0 && f->wait_us > left_us * URGENT_WAIT_SHARE;
}

/* Part of the pool that is not taken. All nodes see the same slow servers, and a
 * choice between two always passes over the slower one, so that it would get far
 * less than its capacity. The less of the pool is free, the less a difference of
 * speed counts; the draws still follow it, see is_drawn(). */
static double idle_share(const struct bb_balance *b)
{
	return fmax(1 - (double)ck_pr_load_64(&b->mean_load) / LOAD_UNIT, 0);
}

static struct member *earlier_finish(const struct bb_balance *b,
				     struct member *x, struct member *y,
				     const struct bb_placement *p,
				     int64_t now_us)
{
	struct forecast fx = forecast(b, x, p, now_us);
	struct forecast fy = forecast(b, y, p, now_us);
	const struct forecast *here = x->local ? &fx : &fy;
	const struct forecast *there = x->local ? &fy : &fx;
	double idle = idle_share(b);
	double extra = zone_cost_us(y, p) - zone_cost_us(x, p);

	if (x->local != y->local && is_urgent(here, p, now_us) &&
	    !is_urgent(there, p, now_us))
		extra = (y->penalty - x->penalty) * (double)p->service_us;
	return fy.wait_us + fy.run_us * idle + extra <
			       fx.wait_us + fx.run_us * idle ?
		       y :
		       x;
}

/* Sets the subset anew from time to time, so that as many of its members as it
 * should have can be chosen. */
static void adapt_window(struct bb_balance *b, int64_t now_us)
{
	size_t usable = 0, local = 0, i;

	if (b->subset >= b->members_nr) {
		ck_pr_store_32(&b->window, (uint32_t)b->members_nr);
		ck_pr_store_32(&b->local_window, (uint32_t)b->locals_nr);
		return;
	}
	if (ck_pr_load_32(&b->window) &&
	    now_us - (int64_t)ck_pr_load_64(&b->window_us) < SUBSET_INTERVAL_US)
		return;
	for (i = 0; i < b->members_nr && usable < b->subset; i++) {
		const struct member *m = &b->members[b->order[i]];

		usable += is_eligible(m, NULL, 0, false, now_us);
		local += m->local;
	}
	ck_pr_store_32(&b->window, (uint32_t)i);
	ck_pr_store_32(&b->local_window, (uint32_t)local);
	ck_pr_store_64(&b->window_us, (uint64_t)now_us);
}

size_t bb_balance_subset(struct bb_balance *b, int64_t now_us)
{
	adapt_window(b, now_us);
	return ck_pr_load_32(&b->window);
}

/* Draws a member of the subset by weight; NULL if the draw is to be repeated. */
static struct member *draw_from_window(struct bb_balance *b, uint32_t window)
{
	uint64_t r = next_random(b);
	uint32_t i = (uint32_t)(((r >> 32) * window) >> 32);
	struct member *m = &b->members[b->order[i]];

	return (double)(uint32_t)r < m->weight / b->max_weight * 4294967296.0 ?
		       m :
		       NULL;
}

static struct member *draw_from_all(struct bb_balance *b)
{
	uint64_t r = next_random(b);
	uint32_t i = (uint32_t)(((r >> 32) * b->members_nr) >> 32);
	struct member *m = &b->members[i];

	if ((double)(uint32_t)r < m->threshold * 4294967296.0)
		return m;
	return &b->members[m->alias];
}

static struct member *draw_member(struct bb_balance *b)
{
	uint32_t window = ck_pr_load_32(&b->window);

	if (window < b->members_nr)
		return draw_from_window(b, window);
	return draw_from_all(b);
}

/* The better of two members: by expected finish with @p, by load without. */
static struct member *less_loaded(const struct bb_balance *b, struct member *x,
				  struct member *y,
				  const struct bb_placement *p, int64_t now_us)
{
	if (!x || !y)
		return x ? x : y;
	if (p)
		return earlier_finish(b, x, y, p, now_us);
	return estimated_load(b, y, now_us) < estimated_load(b, x, now_us) ? y :
									     x;
}

/* Whether a drawn member is kept: a slow one in proportion to its speed. */
static bool is_drawn(struct bb_balance *b, const struct member *m,
		     const struct bb_placement *p, int64_t now_us)
{
	double speed = p ? relative_speed(b, m->path, now_us) : 1;

	return speed >= 1 ||
	       (double)(uint32_t)next_random(b) < speed * 4294967296.0;
}

/* Finds the eligible member with the lowest load among the first @nr of the
 * order. Starts at a random member, so that members of equal load share the
 * requests. */
static struct member *scan_first(struct bb_balance *b, size_t nr,
				 const struct bb_placement *p,
				 const uint32_t *excluded, size_t excluded_nr,
				 bool last_resort, int64_t now_us)
{
	struct member *best = NULL;
	size_t start = nr ? next_random(b) % nr : 0;

	for (size_t i = 0; i < nr; i++) {
		struct member *m = &b->members[b->order[(start + i) % nr]];

		if (is_eligible(m, excluded, excluded_nr, last_resort, now_us))
			best = less_loaded(b, best, m, p, now_us);
	}
	return best;
}

/* The same in the subset or, if it has none, in the whole pool. */
static struct member *scan_least_loaded(struct bb_balance *b,
					const struct bb_placement *p,
					const uint32_t *excluded,
					size_t excluded_nr, bool last_resort,
					int64_t now_us)
{
	uint32_t window = ck_pr_load_32(&b->window);
	struct member *best = scan_first(b, window, p, excluded, excluded_nr,
					 last_resort, now_us);

	if (best || window == b->members_nr)
		return best;
	return scan_first(b, b->members_nr, p, excluded, excluded_nr,
			  last_resort, now_us);
}

static struct bb_choice count_request(struct member *m,
				      const struct bb_placement *p)
{
	struct bb_path *path = m->path;

	ck_pr_inc_32(&path->refs);
	ck_pr_inc_32(&path->in_flight);
	if (p)
		ck_pr_add_64(&path->own_work_us, (uint64_t)p->cost_us);
	return (struct bb_choice){ m->backend, path };
}

/* Draws two members of this node's availability zone and chooses the better
 * one. */
static struct member *draw_local(struct bb_balance *b,
				 const struct bb_placement *p,
				 const uint32_t *excluded, size_t excluded_nr,
				 int64_t now_us)
{
	uint32_t window = ck_pr_load_32(&b->local_window);
	struct member *best = NULL;
	/* Without a placement, a draw that is not eligible is not repeated. */
	int draws = p ? DRAWS_MAX : 2;
	int found = 0;

	for (int i = 0; i < draws && window && found < 2; i++) {
		uint32_t at = b->locals[next_random(b) % window];
		struct member *m = &b->members[at];

		if (!is_eligible(m, excluded, excluded_nr, false, now_us) ||
		    !is_drawn(b, m, p, now_us))
			continue;
		found++;
		best = less_loaded(b, best, m, p, now_us);
	}
	return best;
}

static bool is_below_local_max(const struct bb_balance *b,
			       const struct member *m,
			       const struct bb_placement *p, int64_t now_us)
{
	double load = p ? load_by_work(b, m, p, now_us) :
			  estimated_load(b, m, now_us);

	return load <= b->local_max_load;
}

/* Whether the own zone comes first. With a placement, also for another attempt:
 * most follow a refusal by one failing server of the zone. */
static bool tries_local(const struct bb_balance *b,
			const struct bb_placement *p, size_t excluded_nr)
{
	return b->local_max_load > 0 && (!excluded_nr || p);
}

static struct bb_choice choose(struct bb_balance *b,
			       const struct bb_placement *p,
			       const uint32_t *excluded, size_t excluded_nr,
			       int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *local = NULL;
	struct member *first = NULL;
	struct member *second = NULL;

	if (!(b->total_weight > 0))
		return none;
	adapt_window(b, now_us);
	if (tries_local(b, p, excluded_nr))
		local = draw_local(b, p, excluded, excluded_nr, now_us);
	if (local && is_below_local_max(b, local, p, now_us))
		return count_request(local, p);
	for (int i = 0; i < DRAWS_MAX && !second; i++) {
		struct member *m = draw_member(b);

		if (!m || m == first ||
		    !is_eligible(m, excluded, excluded_nr, false, now_us) ||
		    !is_drawn(b, m, p, now_us))
			continue;
		if (!first)
			first = m;
		else
			second = m;
	}
	first = less_loaded(b, first, second, p, now_us);
	if (p)
		first = less_loaded(b, local, first, p, now_us);
	if (!first)
		first = scan_least_loaded(b, p, excluded, excluded_nr, false,
					  now_us);
	if (!first)
		first = scan_least_loaded(b, p, excluded, excluded_nr, true,
					  now_us);
	return first ? count_request(first, p) : none;
}

struct bb_choice bb_balance_choose(struct bb_balance *b,
				   const uint32_t *excluded, size_t excluded_nr,
				   int64_t now_us)
{
	return choose(b, NULL, excluded, excluded_nr, now_us);
}

/* Without a mean of the service, times cannot be compared with loads. */
static const struct bb_placement *usable(const struct bb_placement *p)
{
	return p && p->service_us > 0 ? p : NULL;
}

struct bb_choice bb_balance_place(struct bb_balance *b,
				  const struct bb_placement *p,
				  const uint32_t *excluded, size_t excluded_nr,
				  int64_t now_us)
{
	return choose(b, usable(p), excluded, excluded_nr, now_us);
}

static struct bb_choice choose_best(struct bb_balance *b,
				    const struct bb_placement *p,
				    const uint32_t *excluded,
				    size_t excluded_nr, int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *best;

	if (!b->members_nr)
		return none;
	adapt_window(b, now_us);
	best = scan_least_loaded(b, p, excluded, excluded_nr, false, now_us);
	if (!best)
		best = scan_least_loaded(b, p, excluded, excluded_nr, true,
					 now_us);
	return best ? count_request(best, p) : none;
}

struct bb_choice bb_balance_choose_least_loaded(struct bb_balance *b,
						const uint32_t *excluded,
						size_t excluded_nr,
						int64_t now_us)
{
	return choose_best(b, NULL, excluded, excluded_nr, now_us);
}

struct bb_choice bb_balance_place_least_loaded(struct bb_balance *b,
					       const struct bb_placement *p,
					       const uint32_t *excluded,
					       size_t excluded_nr,
					       int64_t now_us)
{
	return choose_best(b, usable(p), excluded, excluded_nr, now_us);
}

struct bb_choice bb_balance_choose_any(struct bb_balance *b, int64_t now_us)
{
	struct bb_choice none = { BB_NO_ROW, NULL };
	struct member *best = NULL;
	size_t start = b->members_nr ? next_random(b) % b->members_nr : 0;

	for (size_t i = 0; i < b->members_nr; i++) {
		struct member *m = &b->members[(start + i) % b->members_nr];

		if (m->in && !is_leaving(m) && !is_avoided(m, now_us))
			best = less_loaded(b, best, m, NULL, now_us);
	}
	return best ? count_request(best, NULL) : none;
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

/* Moves an average, which is 0 before its first sample. Not an atomic update: a
 * report lost to another thread does not matter for a moving average. */
static void update_mean(uint64_t *mean, double gain, double sample)
{
	double old = (double)ck_pr_load_64(mean);

	ck_pr_store_64(mean,
		       (uint64_t)(old > 0 ?
					  fmax(old + gain * (sample - old), 1) :
					  fmax(sample, 1)));
}

static void learn_report(struct bb_balance *b, const struct bb_path *path,
			 const struct bb_load *load, double others,
			 uint64_t total)
{
	update_mean(&b->zone_load[ck_pr_load_32(&path->local) != 0],
		    ZONE_LOAD_GAIN, others / MAX(load->slots, 1));
	if (load->work_us > 0 && total)
		update_mean(&b->mean_work_us, WORK_GAIN,
			    (double)load->work_us / (double)total);
	if (load->speed_permille)
		update_mean(&b->mean_speed, SPEED_GAIN,
			    (double)ck_pr_load_32(&path->speed) * LOAD_UNIT);
}

void bb_balance_report(struct bb_balance *b, struct bb_path *path,
		       const struct bb_load *load, int64_t now_us)
{
	uint64_t total = (uint64_t)load->in_flight + load->queued;
	uint64_t own = ck_pr_load_32(&path->in_flight);
	uint64_t others = total > own ? (total - own) * LOAD_UNIT : 0;
	double mean = (double)ck_pr_load_64(&b->mean_load);
	int64_t avoid_us = MIN(load->avoid_for_us, BB_BALANCE_HINT_MAX_US);

	ck_pr_store_64(&path->others_load, others);
	ck_pr_store_32(&path->slots, MAX(load->slots, 1));
	ck_pr_store_64(&path->work_us, (uint64_t)MAX(load->work_us, 0));
	ck_pr_store_32(&path->requests, (uint32_t)total);
	ck_pr_store_32(&path->speed,
		       MIN(load->speed_permille, BB_SPEED_MAX_PERMILLE));
	learn_report(b, path, load, (double)others, total);
	ck_pr_store_64(&path->reported_us, (uint64_t)MAX(now_us, 1));
	ck_pr_store_64(&path->hint_until_us,
		       avoid_us > 0 ? (uint64_t)(now_us + avoid_us) : 0);
	/* Not an atomic update: a report lost to another thread does not matter
	 * for a moving average. */
	mean += MEAN_LOAD_GAIN * ((double)others / MAX(load->slots, 1) - mean);
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

		if (m != self && is_eligible(m, NULL, 0, false, now_us))
			left += m->weight;
	}
	if (!(left > 0) || left * 100 < b->total_weight * b->floor_percent)
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
		c[i].ineligible = !is_eligible(m, NULL, 0, false, now_us);
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

void bb_path_set_leaving(struct bb_path *path, bool leaving)
{
	ck_pr_store_32(&path->said_leaving, leaving);
}

void bb_path_release(struct bb_path *path)
{
	uint32_t in_flight = ck_pr_load_32(&path->in_flight);
	uint64_t work_us = ck_pr_load_64(&path->own_work_us);

	/* The mean of those in flight. A lost update ends with the last one. */
	if (work_us)
		ck_pr_store_64(&path->own_work_us,
			       in_flight > 1 ? work_us - work_us / in_flight :
					       0);
	ck_pr_dec_32(&path->in_flight);
	path_unref(path);
}

uint32_t bb_path_in_flight(const struct bb_path *path)
{
	return ck_pr_load_32(&path->in_flight);
}
