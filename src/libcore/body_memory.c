#include "baobabward/body_memory.h"

#include <glib.h>
#include <pthread.h>

#include "baobabward/metrics.h"

/* Part of the limit for request bodies: as much again is for their copies and for
 * those of other nodes. */
#define REQUESTS_PERCENT 50
/* Part of the limit that large claims leave to small ones. */
#define SMALL_PERCENT 12
/*
 * Part of what request bodies may take for one account or client address, so that
 * the largest bodies of another one fit beside it.
 */
#define SHARE_PERCENT 75
/* Part by which responses may exceed the limit: their requests have run. */
#define RESPONSES_OVER_PERCENT 25
/* Part of the machine's memory for bodies where the settings name no limit. */
#define DEFAULT_PERCENT 25
/*
 * Bounds of the default: several bodies of the largest size of a message (16 MiB)
 * with their copies, and what bounds a node on a machine with much memory.
 */
#define DEFAULT_MIN_BYTES (UINT64_C(64) << 20)
#define DEFAULT_MAX_BYTES (UINT64_C(256) << 20)

/**
 * struct bb_body_memory - see body_memory.h.
 * @o: options
 * @lock: guards all that follows and the claims
 * @claims: head of the list of all claims
 * @use: sums over all claims
 */
struct bb_body_memory {
	struct bb_body_memory_options o;
	pthread_mutex_t lock;
	struct bb_body_claim *claims;
	struct bb_body_memory_use use;
};

/**
 * struct usage - what other claims take, as a claim sees them, in bytes.
 * @total: all claims
 * @small: small claims
 * @requests: large request bodies of callers
 * @large: large request bodies of callers and of other nodes
 * @responses: large responses
 * @account: large request bodies of the same account
 * @address: large request bodies of the same client address
 * @small_account: small request bodies of the same account
 * @small_address: small request bodies of the same client address
 */
struct usage {
	uint64_t total;
	uint64_t small;
	uint64_t requests;
	uint64_t large;
	uint64_t responses;
	uint64_t account;
	uint64_t address;
	uint64_t small_account;
	uint64_t small_address;
};

static uint64_t percent_of(uint64_t n, unsigned int percent)
{
	return n * percent / 100;
}

/* Request bodies that one account or client address may have. */
static uint64_t share_bytes(uint64_t limit)
{
	return percent_of(percent_of(limit, REQUESTS_PERCENT), SHARE_PERCENT);
}

static bool is_small(uint64_t bytes)
{
	return bytes <= BB_BODY_SMALL_BYTES;
}

uint64_t bb_body_default_limit(uint64_t machine_bytes)
{
	if (!machine_bytes)
		return DEFAULT_MAX_BYTES;
	return CLAMP(percent_of(machine_bytes, DEFAULT_PERCENT),
		     DEFAULT_MIN_BYTES, DEFAULT_MAX_BYTES);
}

struct bb_body_memory *
bb_body_memory_new(const struct bb_body_memory_options *o)
{
	struct bb_body_memory *m = g_new0(struct bb_body_memory, 1);

	m->o = *o;
	pthread_mutex_init(&m->lock, NULL);
	return m;
}

void bb_body_memory_delete(struct bb_body_memory *m)
{
	if (!m)
		return;
	pthread_mutex_destroy(&m->lock);
	g_free(m);
}

static uint64_t total_bytes(const struct bb_body_memory *m)
{
	uint64_t sum = 0;

	for (int i = 0; i < BB_BODY_STAGE_COUNT; i++)
		sum += m->use.stages[i];
	return sum;
}

static void set_bytes(struct bb_body_memory *m, struct bb_body_claim *c,
		      uint64_t bytes)
{
	m->use.stages[c->stage] -= c->bytes;
	m->use.stages[c->stage] += bytes;
	if (is_small(c->bytes))
		m->use.small -= c->bytes;
	if (is_small(bytes))
		m->use.small += bytes;
	c->bytes = bytes;
	bb_metrics_set(BB_METRIC_BODY_BYTES, total_bytes(m));
	bb_metrics_set(BB_METRIC_BODY_BYTES_FORWARDED,
		       m->use.stages[BB_BODY_FORWARDED]);
	bb_metrics_set(BB_METRIC_BODY_BYTES_RESPONSES,
		       m->use.stages[BB_BODY_RESPONSE]);
}

static void add_to(struct usage *u, const struct bb_body_claim *c,
		   const struct bb_body_claim *other)
{
	bool received = other->stage == BB_BODY_RECEIVED;
	bool same_account = c->account && other->account == c->account;
	bool same_address = c->address && other->address == c->address;

	u->total += other->bytes;
	if (is_small(other->bytes)) {
		u->small += other->bytes;
		if (received && same_account)
			u->small_account += other->bytes;
		if (received && same_address)
			u->small_address += other->bytes;
		return;
	}
	if (other->stage == BB_BODY_RESPONSE)
		u->responses += other->bytes;
	else
		u->large += other->bytes;
	if (!received)
		return;
	u->requests += other->bytes;
	if (same_account)
		u->account += other->bytes;
	if (same_address)
		u->address += other->bytes;
}

static void remove_from(struct usage *u, const struct bb_body_claim *c,
			const struct bb_body_claim *other)
{
	struct usage one = { 0 };

	add_to(&one, c, other);
	u->total -= one.total;
	u->small -= one.small;
	u->requests -= one.requests;
	u->large -= one.large;
	u->responses -= one.responses;
	u->account -= one.account;
	u->address -= one.address;
	u->small_account -= one.small_account;
	u->small_address -= one.small_address;
}

static struct usage usage_of_others(const struct bb_body_memory *m,
				    const struct bb_body_claim *c)
{
	struct usage u = { 0 };

	for (const struct bb_body_claim *i = m->claims; i; i = i->next)
		if (i != c)
			add_to(&u, c, i);
	return u;
}

/* Whether @bytes of claim @c fit beside the others. */
static bool fits(const struct bb_body_memory *m, const struct bb_body_claim *c,
		 uint64_t bytes, const struct usage *u)
{
	uint64_t limit = m->o.limit;
	uint64_t kept = MAX(u->small, percent_of(limit, SMALL_PERCENT));
	uint64_t requests = percent_of(limit, REQUESTS_PERCENT);
	uint64_t share = share_bytes(limit);

	if (!limit || c->stage == BB_BODY_RESPONSE)
		return u->total + bytes <= limit || !limit;
	if (is_small(bytes)) {
		if (u->total + bytes > limit &&
		    u->small + bytes > percent_of(limit, SMALL_PERCENT))
			return false;
		return c->stage != BB_BODY_RECEIVED ||
		       (u->small_account + bytes <= share &&
			u->small_address + bytes <= share);
	}
	if (!u->large)
		return true;
	if (u->total - u->small + kept + bytes > limit)
		return false;
	if (c->stage != BB_BODY_RECEIVED)
		return true;
	return u->requests + bytes <= requests &&
	       (!u->account || u->account + bytes <= share) &&
	       (!u->address || u->address + bytes <= share);
}

/* Whether a response of @bytes that does not fit is admitted over the limit. */
static bool may_exceed(const struct bb_body_memory *m, uint64_t bytes,
		       const struct usage *u)
{
	uint64_t over = percent_of(m->o.limit, RESPONSES_OVER_PERCENT);

	return is_small(bytes) || !u->responses ||
	       u->total + bytes <= m->o.limit + over;
}

static bool is_still(const struct bb_body_memory *m,
		     const struct bb_body_claim *c, int64_t now_us)
{
	return !c->pinned && now_us - c->moved_us >= m->o.stall_us;
}

static bool is_stalled(const struct bb_body_memory *m,
		       const struct bb_body_claim *c, int64_t now_us)
{
	return c->may_give_way && c->bytes && is_still(m, c, now_us);
}

/* Request bodies before responses, then by the time without progress. */
static gint compare_stalled(gconstpointer a, gconstpointer b)
{
	const struct bb_body_claim *x = *(struct bb_body_claim *const *)a;
	const struct bb_body_claim *y = *(struct bb_body_claim *const *)b;

	if (x->stage != y->stage)
		return x->stage < y->stage ? -1 : 1;
	return (x->moved_us > y->moved_us) - (x->moved_us < y->moved_us);
}

static GPtrArray *stalled_claims(const struct bb_body_memory *m,
				 const struct bb_body_claim *c, int64_t now_us)
{
	GPtrArray *all = g_ptr_array_new();

	for (struct bb_body_claim *i = m->claims; i; i = i->next)
		if (i != c && is_stalled(m, i, now_us))
			g_ptr_array_add(all, i);
	g_ptr_array_sort(all, compare_stalled);
	return all;
}

static void take_away(struct bb_body_memory *m, struct bb_body_claim *c)
{
	if (m->o.give_way)
		m->o.give_way(m->o.data, c);
	c->gave_way = true;
	c->may_give_way = false;
	set_bytes(m, c, 0);
	m->use.gave_way++;
	bb_metrics_add(BB_METRIC_BODIES_GAVE_WAY, 1);
}

/* Whether the removal of @other brings claim @c, which does not fit, closer. */
static bool helps(const struct bb_body_memory *m, const struct bb_body_claim *c,
		  uint64_t bytes, const struct usage *u,
		  const struct bb_body_claim *other)
{
	uint64_t requests = percent_of(m->o.limit, REQUESTS_PERCENT);
	uint64_t share = share_bytes(m->o.limit);
	bool same_account = c->account && c->account == other->account;
	bool same_address = c->address && c->address == other->address;

	if (c->stage != BB_BODY_RECEIVED)
		return true;
	if (is_small(bytes))
		return (u->small_account + bytes <= share || same_account) &&
		       (u->small_address + bytes <= share || same_address);
	if (u->account && u->account + bytes > share && !same_account)
		return false;
	if (u->address && u->address + bytes > share && !same_address)
		return false;
	if (u->requests + bytes > requests)
		return other->stage == BB_BODY_RECEIVED;
	return true;
}

/*
 * Lets stalled claims give way until @bytes of claim @c fit. Return: false if
 * they do not fit even without all of these; then none gives way.
 */
static bool make_room(struct bb_body_memory *m, struct bb_body_claim *c,
		      uint64_t bytes, struct usage *u, int64_t now_us)
{
	GPtrArray *all = stalled_claims(m, c, now_us);
	guint chosen = 0;
	bool ok = false;

	for (guint i = 0; i < all->len && !ok; i++) {
		struct bb_body_claim *other = g_ptr_array_index(all, i);

		if (!helps(m, c, bytes, u, other) ||
		    (m->o.has_input && m->o.has_input(m->o.data, other)))
			continue;
		remove_from(u, c, other);
		all->pdata[chosen++] = other;
		ok = fits(m, c, bytes, u);
	}
	/* Less room for a response is better than none. */
	for (guint i = 0; (ok || c->stage == BB_BODY_RESPONSE) && i < chosen;
	     i++)
		take_away(m, g_ptr_array_index(all, i));
	g_ptr_array_unref(all);
	return ok;
}

void bb_body_claim_begin(struct bb_body_memory *m, struct bb_body_claim *c,
			 enum bb_body_stage stage, uint64_t account,
			 uint64_t address, int64_t now_us)
{
	*c = (struct bb_body_claim){
		.stage = stage,
		.account = account,
		.address = address,
		.moved_us = now_us,
		.pinned = true,
	};
	if (!m)
		return;
	pthread_mutex_lock(&m->lock);
	c->next = m->claims;
	if (c->next)
		c->next->prev = c;
	m->claims = c;
	c->listed = true;
	pthread_mutex_unlock(&m->lock);
}

bool bb_body_claim_resize(struct bb_body_memory *m, struct bb_body_claim *c,
			  uint64_t bytes, int64_t now_us)
{
	bool ok = true;

	if (!m || !c->listed)
		return true;
	pthread_mutex_lock(&m->lock);
	if (bytes > c->bytes) {
		/* The sums suffice for most small claims: no caller has reached a
		 * share yet. */
		ok = is_small(bytes) && total_bytes(m) - c->bytes + bytes <=
						share_bytes(m->o.limit);
		if (!ok) {
			struct usage u = usage_of_others(m, c);

			ok = fits(m, c, bytes, &u) ||
			     make_room(m, c, bytes, &u, now_us) ||
			     (c->stage == BB_BODY_RESPONSE &&
			      may_exceed(m, bytes, &u));
		}
	}
	if (ok)
		set_bytes(m, c, bytes);
	pthread_mutex_unlock(&m->lock);
	return ok;
}

void bb_body_claim_force(struct bb_body_memory *m, struct bb_body_claim *c,
			 uint64_t bytes)
{
	if (!m || !c->listed)
		return;
	pthread_mutex_lock(&m->lock);
	set_bytes(m, c, bytes);
	pthread_mutex_unlock(&m->lock);
}

bool bb_body_claim_pin(struct bb_body_memory *m, struct bb_body_claim *c)
{
	bool ok;

	if (!m || !c->listed)
		return true;
	pthread_mutex_lock(&m->lock);
	ok = !c->gave_way;
	c->pinned = ok;
	pthread_mutex_unlock(&m->lock);
	return ok;
}

void bb_body_claim_moved(struct bb_body_memory *m, struct bb_body_claim *c,
			 uint64_t bytes, int64_t now_us)
{
	if (!m || !c->listed)
		return;
	pthread_mutex_lock(&m->lock);
	c->moved_bytes += bytes;
	if (c->moved_bytes >= BB_BODY_PROGRESS_BYTES) {
		c->moved_bytes = 0;
		c->moved_us = now_us;
	}
	c->may_give_way = true;
	c->pinned = false;
	pthread_mutex_unlock(&m->lock);
}

void bb_body_claim_end(struct bb_body_memory *m, struct bb_body_claim *c)
{
	if (!m || !c->listed)
		return;
	pthread_mutex_lock(&m->lock);
	set_bytes(m, c, 0);
	if (c->prev)
		c->prev->next = c->next;
	else
		m->claims = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->listed = false;
	pthread_mutex_unlock(&m->lock);
	*c = (struct bb_body_claim){ 0 };
}

void bb_body_memory_tick(struct bb_body_memory *m, int64_t now_us)
{
	int nr = 0;

	if (!m || !m->o.stalled)
		return;
	pthread_mutex_lock(&m->lock);
	for (struct bb_body_claim *c = m->claims; c && nr < BB_BODY_TICK_MAX;
	     c = c->next) {
		if (!is_still(m, c, now_us) ||
		    now_us - c->visited_us < m->o.stall_us)
			continue;
		c->visited_us = now_us;
		m->o.stalled(m->o.data, c);
		nr++;
	}
	pthread_mutex_unlock(&m->lock);
}

void bb_body_memory_use(struct bb_body_memory *m,
			struct bb_body_memory_use *use)
{
	pthread_mutex_lock(&m->lock);
	*use = m->use;
	pthread_mutex_unlock(&m->lock);
}
