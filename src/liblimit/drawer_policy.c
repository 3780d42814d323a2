/*
 * Policy of the drawer: when and how many tokens are drawn, from which holder,
 * and when unused tokens are returned and spent ones reported. At most one draw
 * of an account is pending at a time.
 */
#include "drawer_private.h"

#include <ck_pr.h>
#include <string.h>

#include "preferred_holder.h"

/* Spent tokens that expire within this time are not reported. */
#define REPORT_VALIDITY_MIN_US (1 * BB_US_PER_S)
/* Requests of an account that may wait when all its tokens are drawn but may be
 * unspent. */
#define ALL_DRAWN_WAITING_MAX 4
/*
 * If requests wait and no host is known to hold the group, a host that answered
 * that it does not hold it is asked again after this time: after a restart it
 * may get its first lease just after it was asked.
 */
#define NOT_HOLDER_RETRY_US (100 * BB_US_PER_MS)
/*
 * With the policy rank_order a holder that did not answer is asked again after
 * this time if requests wait and nobody else can be asked: a stalled node answers
 * within this time or has lost the message.
 */
#define SILENT_RETRY_US (300 * BB_US_PER_MS)
/* Time for which a host that answered late counts as stalling. */
#define STALLING_US (5 * BB_US_PER_S)
/* Longest wait for the next token of an account whose burst has few tokens. */
#define SCARCE_WAIT_MAX_US (200 * BB_US_PER_MS)
/*
 * Validity asked for with a prefetch of PREFETCH_DEMAND_S seconds of demand.
 * The tokens expire linearly, so unspent ones expire at 40% of the rate of the
 * demand. At 60%, so many tokens expired at a node that used 90% of a rate that
 * up to 1% of its requests were refused (bench_limit).
 */
#define PREFETCH_VALID_MS 10000
/* Least demand at which tokens are prefetched, in micro-tokens per second. */
#define PREFETCH_RATE_MIN (2 * BB_TOKEN)
/* A demand that rises to at least this rate, in micro-tokens per second, is
 * taken as the start of a load instead of chance, and smoothed less. */
#define LOAD_START_RATE (4 * BB_TOKEN)
/* Seconds of demand that are prefetched. */
#define PREFETCH_DEMAND_S 4
/* Tokens are prefetched again when those left cover less demand than this. */
#define PREFETCH_AGAIN_MS 200
/* An account counts as idle after the time in which its demand would have spent
 * this many micro-tokens. */
#define IDLE_MISSED_TOKENS (6 * BB_TOKEN)
/* Interval over which the demand is measured. */
#define DEMAND_INTERVAL_US (1 * BB_US_PER_S)
/* Most micro-tokens that one draw asks for. */
#define DRAW_TOKENS_MAX (4000 * BB_TOKEN)

static void find_candidates(struct bb_drawer *d, uint32_t group, int64_t now_us)
{
	struct candidates *c = &d->candidates[group];
	uint32_t first = (d->self ^ group) & 1;

	c->nr = 0;
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
		uint32_t host = bb_nth_live_seat(d->map, group, (first + i) % 2,
						 i / 2, d->o.alive, d->o.data,
						 now_us);
		uint64_t id;

		if (host == BB_NO_ROW)
			continue;
		id = bb_lease_map_host_id(d->map, host);
		c->hosts[c->nr] = host;
		c->ids[c->nr++] = id;
	}
}

void bb_drawer_forget_candidates(struct bb_drawer *d)
{
	for (uint32_t group = 0; group < BB_LEASE_GROUPS; group++)
		d->candidates[group].found_us = INT64_MIN;
}

/* Found when needed, so that groups without accounts in use cost nothing. */
static const struct candidates *get_candidates(struct bb_drawer *d,
					       uint32_t group, int64_t now_us)
{
	struct candidates *c = &d->candidates[group];

	if (c->found_us == INT64_MIN ||
	    now_us - c->found_us >= SWEEP_INTERVAL_US) {
		c->found_us = now_us;
		find_candidates(d, group, now_us);
	}
	return c;
}

static bool is_silent(const struct bb_drawer *d, uint64_t host, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(d->silent, &host);

	return until_us && now_us < *until_us;
}

/* Whether a host answered a draw after its time-out lately. */
bool bb_drawer_is_stalling(const struct bb_drawer *d, uint64_t host,
			   int64_t now_us)
{
	const int64_t *late_us = g_hash_table_lookup(d->late_hosts, &host);

	return late_us && now_us - *late_us < STALLING_US;
}

static bool is_stopping(const struct bb_drawer *d, uint32_t host,
			int64_t now_us)
{
	return d->o.stopping && d->o.stopping(d->o.data, host, now_us);
}

/* Time before which the holder of a pool is known to have no tokens. */
static int64_t unavailable_until_us(const struct pool *p)
{
	return p->host ? MAX(p->empty_until_us, p->not_holder_until_us) :
			 INT64_MIN;
}

/* Pool of a holder. If there is none, a pool without tokens or a draw that may
 * be answered is reused; NULL if there is no such pool either. */
static struct pool *get_pool(struct local_account *a, uint64_t host)
{
	struct pool *unused = NULL;

	for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
		struct pool *p = &a->pools[i];

		if (p->host == host)
			return p;
		/* Of these, the one whose unavailability ends first: a host is
		 * asked again at once when its pool is reused. */
		if (!p->tokens && !p->draw_nonce && !p->late_nonce &&
		    (!unused ||
		     unavailable_until_us(p) < unavailable_until_us(unused)))
			unused = p;
	}
	if (!unused)
		return NULL;
	*unused = (struct pool){ .host = host,
				 .spends_reported = true,
				 .empty_until_us = INT64_MIN,
				 .prefetch_after_us = INT64_MIN,
				 .not_holder_until_us = INT64_MIN };
	return unused;
}

static struct draw_batch *get_batch(struct bb_drawer *d, uint32_t host,
				    uint64_t id)
{
	struct draw_batch *b;

	for (guint i = 0; i < d->batches->len; i++) {
		b = g_ptr_array_index(d->batches, i);
		if (b->host == host && b->draws->len < BB_LIST_MAX)
			return b;
	}
	b = g_new0(struct draw_batch, 1);
	b->host = host;
	b->id = id;
	b->draws = g_array_new(FALSE, FALSE, sizeof(struct bb_draw));
	b->pools = g_array_new(FALSE, FALSE, sizeof(struct pool *));
	b->accounts = g_ptr_array_new();
	g_ptr_array_add(d->batches, b);
	return b;
}

static struct draw_batch *add_draw(struct bb_drawer *d, uint32_t host,
				   struct local_account *a, struct pool *p,
				   int64_t wanted, int64_t returned,
				   uint32_t valid_ms, int64_t now_us)
{
	struct draw_batch *b = get_batch(d, host, p->host);
	struct bb_draw draw = {
		.account = { a->name, strlen(a->name) },
		.wanted = MIN(wanted, DRAW_TOKENS_MAX),
		.returned = returned,
		.valid_ms = valid_ms,
	};

	p->tokens -= returned;
	p->spends_reported = true;
	draw.held = p->tokens;
	p->prefetch = valid_ms > SHORT_VALID_MS;
	/* The holder restarts the linear expiry from the tokens held now; see
	 * struct bb_draw. */
	p->expires_linearly |= p->prefetch;
	p->from_tokens = p->tokens;
	p->from_us = now_us;
	p->late_nonce = 0;
	/* The draw counts as pending until send_batch() assigns the nonce. */
	p->draw_nonce = UINT64_MAX;
	g_array_append_val(b->draws, draw);
	g_array_append_val(b->pools, p);
	g_ptr_array_add(b->accounts, a);
	return b;
}

bool bb_local_account_draw_pending(const struct local_account *a)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (a->pools[i].draw_nonce)
			return true;
	return false;
}

/* Asks a holder again that did not answer. If another holder answered that it has
 * no tokens left, only one that answers late is worth a wait. Returns false if
 * there is none, or if an answer may still come. */
static bool draw_from_silent(struct bb_drawer *d, struct local_account *a,
			     const struct candidates *c, int64_t wanted,
			     bool other_empty, int64_t now_us)
{
	for (uint32_t i = 0; i < MIN(c->nr, BB_LEASE_HOLDERS); i++) {
		struct pool *p = get_pool(a, c->ids[i]);

		if (!p || !is_silent(d, c->ids[i], now_us) ||
		    now_us < unavailable_until_us(p) ||
		    (other_empty &&
		     !bb_drawer_is_stalling(d, c->ids[i], now_us)) ||
		    (p->late_nonce && now_us - p->from_us < SILENT_RETRY_US))
			continue;
		add_draw(d, c->hosts[i], a, p, wanted, 0, SHORT_VALID_MS,
			 now_us);
		return true;
	}
	return false;
}

/*
 * Draws from the first holder that may have tokens. While requests wait and
 * all hosts answered that they do not hold the group, they are asked again in
 * turn, the one with the oldest answer first. Returns 0 if a host was asked,
 * else the time before which there is none to ask, or INT64_MAX if no holder is
 * known.
 */
static int64_t draw_on_demand(struct bb_drawer *d, struct local_account *a,
			      int64_t wanted, int64_t now_us)
{
	const struct candidates *c = get_candidates(d, a->group, now_us);
	int64_t next_us = INT64_MAX;
	struct pool *oldest = NULL;
	uint32_t oldest_host = 0;

	for (uint32_t i = 0; i < c->nr; i++) {
		struct pool *p;

		if (is_silent(d, c->ids[i], now_us))
			continue;
		p = get_pool(a, c->ids[i]);
		if (!p)
			continue;
		if (now_us < p->not_holder_until_us) {
			if (oldest && p->not_holder_until_us >=
					      oldest->not_holder_until_us)
				continue;
			oldest = p;
			oldest_host = c->hosts[i];
			continue;
		}
		if (now_us < p->empty_until_us) {
			next_us = MIN(next_us, p->empty_until_us);
			continue;
		}
		add_draw(d, c->hosts[i], a, p, wanted, 0, SHORT_VALID_MS,
			 now_us);
		return 0;
	}
	if (a->waiting && ck_pr_load_uint(&d->ranked) &&
	    draw_from_silent(d, a, c, wanted, next_us != INT64_MAX, now_us))
		return 0;
	if (next_us != INT64_MAX || !a->waiting || !oldest ||
	    now_us + NOT_HOLDER_BACKOFF_US - NOT_HOLDER_RETRY_US <
		    oldest->not_holder_until_us)
		return next_us;
	add_draw(d, oldest_host, a, oldest, wanted, 0, SHORT_VALID_MS, now_us);
	return 0;
}

/*
 * Draws ahead of demand from the two holders of the group in turn, so that one
 * refills while the tokens of the other are spent. Returns false if neither can
 * be asked.
 */
static bool prefetch(struct bb_drawer *d, struct local_account *a,
		     int64_t wanted, int64_t now_us)
{
	const struct candidates *c = get_candidates(d, a->group, now_us);
	uint32_t nr = MIN(c->nr, BB_LEASE_HOLDERS);

	for (uint32_t k = 0; k < nr; k++) {
		uint32_t i = (a->next_holder + k) % nr;
		struct pool *p;

		if (is_silent(d, c->ids[i], now_us))
			continue;
		p = get_pool(a, c->ids[i]);
		if (!p || now_us < unavailable_until_us(p) ||
		    now_us < p->prefetch_after_us)
			continue;
		/* A holder with too few tokens grants only one, which is wasted
		 * if no request waits for it. */
		if (!p->prefetch_granted && !a->waiting)
			continue;
		add_draw(d, c->hosts[i], a, p, wanted, 0, PREFETCH_VALID_MS,
			 now_us);
		a->next_holder = i + 1;
		return true;
	}
	return false;
}

static void update_demand(struct local_account *a, int64_t now_us)
{
	int64_t span_us = now_us - a->demand_from_us;
	int64_t rate, old;

	if (span_us < DEMAND_INTERVAL_US)
		return;
	rate = a->spent * BB_US_PER_S / span_us;
	old = rate > a->demand_rate && rate >= LOAD_START_RATE ? 1 : 3;
	a->demand_rate = (old * a->demand_rate + rate) / (old + 1);
	a->spent = 0;
	a->demand_from_us = now_us;
}

/* Time without a spend after which the account counts as idle here. */
static int64_t idle_after_us(const struct bb_drawer *d,
			     const struct local_account *a)
{
	int64_t us = d->o.report_idle_us - 1;

	if (!us || a->demand_rate < PREFETCH_RATE_MIN)
		return us;
	return MAX(us, IDLE_MISSED_TOKENS * BB_US_PER_S / a->demand_rate);
}

/*
 * Returns unused tokens and reports spent ones when the account is idle or this
 * node stops. Spent tokens that expire soon at the holder are not worth a
 * message. A holder that stops gets its tokens back at once: it can't release
 * its leases before, and no other host could hold the group until these end.
 */
void bb_drawer_report_account(struct bb_drawer *d, struct local_account *a,
			      bool stopping, int64_t now_us)
{
	int64_t validity_min_us =
		d->o.report_idle_us == 1 ? 0 : REPORT_VALIDITY_MIN_US;
	bool idle = now_us - a->last_spend_us >= idle_after_us(d, a);
	bool all_holders = (idle || stopping) && !a->waiting;

	for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
		struct pool *p = &a->pools[i];
		struct draw_batch *b;
		uint32_t host;

		if (p->draw_nonce || now_us >= p->until_us ||
		    (!p->tokens && (p->spends_reported ||
				    now_us + validity_min_us >= p->until_us)))
			continue;
		host = bb_lease_map_find(d->map, p->host);
		if (host == BB_NO_ROW ||
		    (!all_holders && !is_stopping(d, host, now_us)))
			continue;
		b = add_draw(d, host, a, p, 0, p->tokens, 0, now_us);
		/* No answer is expected. */
		p->draw_nonce = 0;
		g_array_index(b->pools, struct pool *, b->pools->len - 1) =
			NULL;
	}
}

/* Whole tokens that holders with a new share refill in BB_DRAW_WAIT_MAX_US. */
static uint32_t sum_expected_tokens(const struct local_account *a,
				    int64_t now_us)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (now_us < a->pools[i].empty_until_us)
			sum += a->pools[i].expected_tokens;
	return sum;
}

static bool is_all_drawn(const struct local_account *a, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (a->pools[i].all_drawn &&
		    now_us < a->pools[i].empty_until_us)
			return true;
	return false;
}

/* Whether the answer to a draw that timed out may still come. */
static bool is_answer_due(const struct local_account *a, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (a->pools[i].late_nonce &&
		    now_us - a->pools[i].from_us < SILENT_RETRY_US)
			return true;
	return false;
}

/*
 * Whether a few requests may wait until @next_us instead of being refused. If
 * the burst is one or two tokens, a node gets few grants, and often only the
 * hint that a token is expected soon.
 */
static bool may_wait(const struct bb_drawer *d, const struct local_account *a,
		     int64_t next_us, int64_t now_us)
{
	if (a->waiting > ALL_DRAWN_WAITING_MAX)
		return false;
	return is_all_drawn(a, now_us) || is_answer_due(a, now_us) ||
	       (a->scarce && d->o.report_idle_us > 1 &&
		next_us - now_us <= SCARCE_WAIT_MAX_US);
}

/*
 * Limits the number of requests that wait until @next_us, the time at which the
 * next holder can be asked. A new share starts with an empty bucket, so as many
 * requests may wait as it refills tokens. Further requests, and all requests if
 * the share is older and its bucket was overspent, are refused early.
 */
static void limit_waiting(const struct bb_drawer *d, struct local_account *a,
			  int64_t next_us, int64_t now_us)
{
	uint32_t expected_tokens = sum_expected_tokens(a, now_us);

	if (may_wait(d, a, next_us, now_us))
		return;
	if (!expected_tokens) {
		a->refuse_until_us = next_us;
		return;
	}
	a->waiting_max = expected_tokens;
	a->waiting_max_until_us = next_us;
}

void bb_drawer_draw_if_needed(struct bb_drawer *d, struct local_account *a,
			      int64_t now_us)
{
	bool may_prefetch;
	int64_t have, wanted, next_us;

	bb_local_account_expire(a, now_us);
	update_demand(a, now_us);
	if (bb_local_account_draw_pending(a) || now_us < a->refuse_until_us)
		return;
	have = bb_local_account_tokens(a);
	may_prefetch = a->demand_rate >= PREFETCH_RATE_MIN &&
		       d->o.report_idle_us > 1 &&
		       now_us - a->last_spend_us < idle_after_us(d, a);
	wanted = (int64_t)a->waiting * BB_TOKEN - have;
	if (wanted <= 0 &&
	    (!may_prefetch ||
	     have >= MIN(a->demand_rate * PREFETCH_AGAIN_MS / 1000 + BB_TOKEN,
			 a->prefetch_below)))
		return;
	if (may_prefetch &&
	    prefetch(d, a, wanted + a->demand_rate * PREFETCH_DEMAND_S, now_us))
		return;
	if (wanted <= 0)
		return;
	next_us = draw_on_demand(d, a, wanted, now_us);
	/*
	 * If no holder is known, as just after a start, requests wait: one may
	 * be known at the next sweep.
	 */
	if (next_us && next_us != INT64_MAX && a->waiting)
		limit_waiting(d, a, next_us, now_us);
}
