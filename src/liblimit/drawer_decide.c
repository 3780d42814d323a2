/* What is drawn, reported and returned, and at which holder. */
#include "drawer_private.h"

#include <string.h>

#include "preferred_holder.h"

/* Rest of the validity below which spent tokens are not reported. */
#define REPORT_LEAST_US (1 * BB_US_PER_S)
/* Requests that wait when all tokens are drawn but may be unspent. */
#define DRAWN_WAITING 4
/*
 * A host that said it does not hold the group is asked again after this time if
 * requests wait and there is no other: after a restart it may get its first
 * lease just after it was asked.
 */
#define ASK_AGAIN_US (100 * BB_US_PER_MS)
/* Longest wait for a token of a burst that has few. */
#define SCARCE_WAIT_US (200 * BB_US_PER_MS)
/*
 * Validity asked for with AHEAD_S seconds of demand. The tokens fall along a
 * line, so this is a slope of 40% of the demand: at 60% a node that used 90% of
 * a rate lost so many that up to 1% of its requests were refused (bench_limit).
 */
#define AHEAD_VALID_MS 10000
/* Spends a second from which on tokens are drawn ahead, in micro-tokens. */
#define AHEAD_RATE (2 * BB_TOKEN)
/* Spends a second that are the start of a load and not chance. */
#define STARTS_RATE (4 * BB_TOKEN)
/* Demand that is drawn ahead, and the rest at which it is drawn again. */
#define AHEAD_S 4
#define AGAIN_MS 200
/* Demand of an account that must be missing before it counts as idle. */
#define IDLE_TOKENS (6 * BB_TOKEN)
#define DEMAND_US (1 * BB_US_PER_S)
#define DRAW_MOST (4000 * BB_TOKEN)

static void find_candidates(struct bb_drawer *d, uint32_t group, int64_t now_us)
{
	struct candidates *c = &d->candidates[group];
	uint32_t first = (d->self ^ group) & 1;

	c->nr = 0;
	for (uint32_t i = 0; i < CANDIDATES; i++) {
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

/* Only groups with accounts in use are looked at. */
static const struct candidates *get_candidates(struct bb_drawer *d,
					       uint32_t group, int64_t now_us)
{
	struct candidates *c = &d->candidates[group];

	if (c->found_us == INT64_MIN || now_us - c->found_us >= SWEEP_US) {
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

static bool is_stopping(const struct bb_drawer *d, uint32_t host,
			int64_t now_us)
{
	return d->o.stopping && d->o.stopping(d->o.data, host, now_us);
}

static int64_t marked_us(const struct pool *p)
{
	return p->host ? MAX(p->empty_us, p->not_holder_us) : INT64_MIN;
}

/* Pool of a holder; takes over one that is of no use any more. */
static struct pool *get_pool(struct slot *s, uint64_t host)
{
	struct pool *unused = NULL;

	for (uint32_t i = 0; i < CANDIDATES; i++) {
		struct pool *p = &s->pools[i];

		if (p->host == host)
			return p;
		/* The one whose marks are the oldest: a mark that is lost
		 * makes the drawer ask that host again at once. */
		if (!p->tokens && !p->draw &&
		    (!unused || marked_us(p) < marked_us(unused)))
			unused = p;
	}
	if (!unused)
		return NULL;
	*unused = (struct pool){ .host = host,
				 .reported = true,
				 .empty_us = INT64_MIN,
				 .ahead_us = INT64_MIN,
				 .not_holder_us = INT64_MIN };
	return unused;
}

static struct batch *get_batch(struct bb_drawer *d, uint32_t host, uint64_t id)
{
	struct batch *b;

	for (guint i = 0; i < d->batches->len; i++) {
		b = g_ptr_array_index(d->batches, i);
		if (b->host == host && b->draws->len < BB_LIST_MAX)
			return b;
	}
	b = g_new0(struct batch, 1);
	b->host = host;
	b->id = id;
	b->draws = g_array_new(FALSE, FALSE, sizeof(struct bb_draw));
	b->pools = g_array_new(FALSE, FALSE, sizeof(struct pool *));
	b->slots = g_ptr_array_new();
	g_ptr_array_add(d->batches, b);
	return b;
}

static struct batch *add_draw(struct bb_drawer *d, uint32_t host,
			      struct slot *s, struct pool *p, int64_t wanted,
			      int64_t returned, uint32_t valid_ms,
			      int64_t now_us)
{
	struct batch *b = get_batch(d, host, p->host);
	struct bb_draw draw = {
		.account = { s->name, strlen(s->name) },
		.wanted = MIN(wanted, DRAW_MOST),
		.returned = returned,
		.valid_ms = valid_ms,
	};

	p->tokens -= returned;
	p->reported = true;
	draw.held = p->tokens;
	p->ahead = valid_ms > SHORT_VALID_MS;
	/* The holder starts a new line from these; see struct bb_draw. */
	p->falling |= p->ahead;
	p->top = p->tokens;
	p->from_us = now_us;
	/* Marked under way until the message gets its nonce. */
	p->draw = UINT64_MAX;
	g_array_append_val(b->draws, draw);
	g_array_append_val(b->pools, p);
	g_ptr_array_add(b->slots, s);
	return b;
}

bool bb_slot_under_way(const struct slot *s)
{
	for (uint32_t i = 0; i < CANDIDATES; i++)
		if (s->pools[i].draw)
			return true;
	return false;
}

/*
 * Draws from the first holder that may have tokens. While requests wait and
 * all hosts said that they do not hold the group, they are asked again in turn,
 * the oldest answer first. Returns the time before which there is none to ask,
 * 0 if one was asked, INT64_MAX if no holder is known.
 */
static int64_t draw_first(struct bb_drawer *d, struct slot *s, int64_t wanted,
			  int64_t now_us)
{
	const struct candidates *c = get_candidates(d, s->group, now_us);
	int64_t next_us = INT64_MAX;
	struct pool *oldest = NULL;
	uint32_t oldest_host = 0;

	for (uint32_t i = 0; i < c->nr; i++) {
		struct pool *p;

		if (is_silent(d, c->ids[i], now_us))
			continue;
		p = get_pool(s, c->ids[i]);
		if (!p)
			continue;
		if (now_us < p->not_holder_us) {
			if (oldest && p->not_holder_us >= oldest->not_holder_us)
				continue;
			oldest = p;
			oldest_host = c->hosts[i];
			continue;
		}
		if (now_us < p->empty_us) {
			next_us = MIN(next_us, p->empty_us);
			continue;
		}
		add_draw(d, c->hosts[i], s, p, wanted, 0, SHORT_VALID_MS,
			 now_us);
		return 0;
	}
	if (next_us != INT64_MAX || !s->waiting || !oldest ||
	    now_us + NOT_HOLDER_US - ASK_AGAIN_US < oldest->not_holder_us)
		return next_us;
	add_draw(d, oldest_host, s, oldest, wanted, 0, SHORT_VALID_MS, now_us);
	return 0;
}

/*
 * Draws ahead of demand from one of the two holders of the group in turn, so
 * that one refills while the tokens of the other are spent.
 */
static bool draw_ahead(struct bb_drawer *d, struct slot *s, int64_t wanted,
		       int64_t now_us)
{
	const struct candidates *c = get_candidates(d, s->group, now_us);
	uint32_t nr = MIN(c->nr, BB_LEASE_HOLDERS);

	for (uint32_t k = 0; k < nr; k++) {
		uint32_t i = (s->turn + k) % nr;
		struct pool *p;

		if (is_silent(d, c->ids[i], now_us))
			continue;
		p = get_pool(s, c->ids[i]);
		if (!p || now_us < marked_us(p) || now_us < p->ahead_us)
			continue;
		/* Of a holder with too little comes one token, which is wasted
		 * if no request waits for it. */
		if (!p->plenty && !s->waiting)
			continue;
		add_draw(d, c->hosts[i], s, p, wanted, 0, AHEAD_VALID_MS,
			 now_us);
		s->turn = i + 1;
		return true;
	}
	return false;
}

static void update_demand(struct slot *s, int64_t now_us)
{
	int64_t span_us = now_us - s->demand_us;
	int64_t rate, old;

	if (span_us < DEMAND_US)
		return;
	rate = s->spent * BB_US_PER_S / span_us;
	old = rate > s->demand && rate >= STARTS_RATE ? 1 : 3;
	s->demand = (old * s->demand + rate) / (old + 1);
	s->spent = 0;
	s->demand_us = now_us;
}

/* Time without a spend after which the account counts as idle here. */
static int64_t idle_after_us(const struct bb_drawer *d, const struct slot *s)
{
	int64_t us = d->o.report_idle_us - 1;

	if (!us || s->demand < AHEAD_RATE)
		return us;
	return MAX(us, IDLE_TOKENS * BB_US_PER_S / s->demand);
}

/*
 * Gives back unused tokens and reports spent ones when the account is idle.
 * Spent ones that expire soon at the holder are not worth a message. A holder
 * that stops gets all back at once: it cannot release its leases before, and
 * nobody else could use them until they ended.
 */
void bb_drawer_report(struct bb_drawer *d, struct slot *s, bool stopping,
		      int64_t now_us)
{
	int64_t least_us = d->o.report_idle_us == 1 ? 0 : REPORT_LEAST_US;
	bool idle = now_us - s->last_us >= idle_after_us(d, s);
	bool all = (idle || stopping) && !s->waiting;

	for (uint32_t i = 0; i < CANDIDATES; i++) {
		struct pool *p = &s->pools[i];
		struct batch *b;
		uint32_t host;

		if (p->draw || now_us >= p->until_us ||
		    (!p->tokens &&
		     (p->reported || now_us + least_us >= p->until_us)))
			continue;
		host = bb_lease_map_find(d->map, p->host);
		if (host == BB_NO_ROW ||
		    (!all && !is_stopping(d, host, now_us)))
			continue;
		b = add_draw(d, host, s, p, 0, p->tokens, 0, now_us);
		/* No answer follows. */
		p->draw = 0;
		g_array_index(b->pools, struct pool *, b->pools->len - 1) =
			NULL;
	}
}

/* Tokens that holders whose share is new expect in BB_DRAW_WAIT_MAX_US. */
static uint32_t coming_tokens(const struct slot *s, int64_t now_us)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < CANDIDATES; i++)
		if (now_us < s->pools[i].empty_us)
			sum += s->pools[i].coming;
	return sum;
}

static bool is_drawn(const struct slot *s, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES; i++)
		if (s->pools[i].drawn && now_us < s->pools[i].empty_us)
			return true;
	return false;
}

/*
 * Whether a few requests wait until @next_us instead of being refused. Of a
 * burst of one or two tokens each node sees little more than a hint that some
 * come soon.
 */
static bool may_wait(const struct bb_drawer *d, const struct slot *s,
		     int64_t next_us, int64_t now_us)
{
	if (s->waiting > DRAWN_WAITING)
		return false;
	return is_drawn(s, now_us) || (s->scarce && d->o.report_idle_us > 1 &&
				       next_us - now_us <= SCARCE_WAIT_US);
}

/*
 * Limits the requests that wait until @next_us, when the next holder can be
 * asked. A new share has an empty bucket, so as many wait as it refills; the
 * others, and all that exceed an older bucket, are refused early.
 */
static void limit_waiting(const struct bb_drawer *d, struct slot *s,
			  int64_t next_us, int64_t now_us)
{
	uint32_t coming = coming_tokens(s, now_us);

	if (may_wait(d, s, next_us, now_us))
		return;
	if (!coming) {
		s->refused_us = next_us;
		return;
	}
	s->waiting_most = coming;
	s->waiting_most_us = next_us;
}

void bb_drawer_decide(struct bb_drawer *d, struct slot *s, int64_t now_us)
{
	bool ahead;
	int64_t have, wanted, next_us;

	bb_slot_expire(s, now_us);
	update_demand(s, now_us);
	if (bb_slot_under_way(s) || now_us < s->refused_us)
		return;
	have = bb_slot_tokens(s);
	ahead = s->demand >= AHEAD_RATE && d->o.report_idle_us > 1 &&
		now_us - s->last_us < idle_after_us(d, s);
	wanted = (int64_t)s->waiting * BB_TOKEN - have;
	if (wanted <= 0 &&
	    (!ahead ||
	     have >= MIN(s->demand * AGAIN_MS / 1000 + BB_TOKEN, s->low)))
		return;
	if (ahead && draw_ahead(d, s, wanted + s->demand * AHEAD_S, now_us))
		return;
	if (wanted <= 0)
		return;
	next_us = draw_first(d, s, wanted, now_us);
	/*
	 * Without a holder, as just after a start, requests wait: the next
	 * sweep may know one.
	 */
	if (next_us && next_us != INT64_MAX && s->waiting)
		limit_waiting(d, s, next_us, now_us);
}
