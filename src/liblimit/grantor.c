/*
 * Token buckets of the client accounts whose groups this node holds. The level
 * of a bucket plus the unspent tokens that were drawn from it never exceed the
 * part of the burst whose leases last until those tokens expire.
 */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/limit.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "margin.h"

/* Time without a draw after which a session is removed. Its tokens have expired
 * by then. */
#define SESSION_IDLE_US (60 * BB_US_PER_S)
/*
 * A prefetch leaves one part in this many of the available tokens in the
 * bucket, so that a sender that asks for the first time finds some. A larger
 * part is left if another sender asked in the last CONTENDED_US.
 */
#define LEAVE_DIVISOR 8
#define LEAVE_DIVISOR_CONTENDED 2
#define CONTENDED_US (4 * BB_US_PER_S)
/* Least number of micro-tokens that is granted to a prefetch. */
#define PREFETCH_MIN (4 * BB_TOKEN)
/* A share with room for fewer micro-tokens than this grants them for
 * SCARCE_VALID_US only, which is above the round trip between regions. */
#define SCARCE_BELOW (4 * BB_TOKEN)
#define SCARCE_VALID_US (100 * BB_US_PER_MS)
/* Shortest validity of tokens that expire linearly. */
#define LINEAR_EXPIRY_MIN_US (500 * BB_US_PER_MS)
/* A share with room for at least this many micro-tokens grants whole tokens
 * only. */
#define WHOLE_TOKENS_FROM BB_TOKEN
/* Retry hint that all tokens are drawn: any of them may be reported spent at
 * any time. */
#define RETRY_ALL_DRAWN_MS 1
#define RETRY_MIN_MS 2
#define RETRY_MAX_MS 60000
/* Longest time for which a share counts as new. It covers the requests that
 * waited when the share was taken, and those that arrived while these could
 * still wait. */
#define NEW_SHARE_MAX_US (2 * BB_DRAW_WAIT_MAX_US)
/* Tokens with a longer validity expire linearly; see struct bb_draw_grant. */
#define SHORT_VALID_MS (BB_DRAW_VALID_SHORT_US / BB_US_PER_MS)

/*
 * One process that draws.
 * @nonce: of its last message
 * @number: identifies it in struct held_tokens
 */
struct session {
	uint64_t host;
	uint64_t incarnation;
	uint64_t nonce;
	uint32_t number;
	int64_t last_us;
};

/*
 * Micro-tokens of one account that one sender may still hold.
 * @expires_linearly: they expire along a line from @amount at @from_us to 0 at
 *                    @until_us, instead of all at the end
 */
struct held_tokens {
	uint32_t session;
	bool expires_linearly;
	int64_t amount;
	int64_t from_us;
	int64_t until_us;
};

/*
 * Token bucket of one account, in micro-tokens.
 * @key: hash of @name
 * @group_index: index in the list of buckets of @group
 * @rate: refill per second for the whole group
 * @burst: capacity for the whole group
 * @integral: share integral up to which @level was refilled
 * @remainder: part of a micro-token that was refilled, in 1 / REFILL_UNIT
 * @last_session: number of the session that asked last
 * @contended_us: last time at which a session asked after another one
 * @held: tokens that the sessions may still hold
 */
struct bucket {
	uint64_t key;
	uint32_t group;
	uint32_t group_index;
	int64_t rate;
	int64_t burst;
	int64_t level;
	uint64_t integral;
	uint64_t remainder;
	uint32_t last_session;
	int64_t contended_us;
	GArray *held;
	char *name;
};

/*
 * State of one grantor.
 * @buckets: by the hash of the account's name
 * @groups: buckets of each group, NULL if there were none yet
 */
struct bb_grantor {
	struct bb_grantor_options o;
	const struct bb_config *config;
	struct bb_lease_map *map;
	GHashTable *buckets;
	GHashTable *sessions;
	uint32_t last_session_number;
	GPtrArray *groups[BB_LEASE_GROUPS];
};

/* Micro-tokens of refill for one unit of the integral: rate / REFILL_UNIT. */
#define REFILL_UNIT ((uint64_t)BB_LEASE_SHARE_TOTAL * 1000000)

static guint session_hash(gconstpointer p)
{
	return XXH3_64bits(p, 2 * sizeof(uint64_t));
}

static gboolean session_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, 2 * sizeof(uint64_t));
}

static void bucket_delete(gpointer data)
{
	struct bucket *b = data;

	g_array_free(b->held, TRUE);
	g_free(b->name);
	g_free(b);
}

/* Micro-tokens that the sender may still hold, rounded up. If they don't expire
 * linearly, all of them count until drop_expired(). */
static int64_t held_amount(const struct held_tokens *h, int64_t now_us)
{
	int64_t span_us = h->until_us - h->from_us;

	if (!h->expires_linearly)
		return h->amount;
	if (now_us >= h->until_us)
		return 0;
	return ((__int128)h->amount * (h->until_us - now_us) + span_us - 1) /
	       span_us;
}

/* Micro-tokens that all senders may still hold. */
static int64_t outstanding(const struct bucket *b, int64_t now_us)
{
	int64_t sum = 0;

	for (guint i = 0; i < b->held->len; i++)
		sum += held_amount(
			&g_array_index(b->held, struct held_tokens, i), now_us);
	return sum;
}

static void drop_expired(struct bucket *b, int64_t now_us)
{
	for (guint i = b->held->len; i-- > 0;)
		if (now_us >=
		    g_array_index(b->held, struct held_tokens, i).until_us)
			g_array_remove_index_fast(b->held, i);
}

/* Part of the burst that is leased until a time. */
static int64_t cap_at(const struct bb_grantor *g, const struct bucket *b,
		      int64_t until_us)
{
	uint32_t share = bb_holder_share(g->o.holder, b->group, until_us);

	return (__int128)b->burst * share / BB_LEASE_SHARE_TOTAL;
}

/*
 * Refills up to now. Tokens that senders held, and that expired since the last
 * call, still count against the cap of this refill: if they were dropped first,
 * the time before their end would refill tokens that could be spent in addition
 * to them. For tokens that expire linearly it is enough to apply the cap at
 * both ends of the refill: the room that they leave is concave in time, so the
 * bound is tightest at one of the ends.
 */
static void refill(struct bb_grantor *g, struct bucket *b, int64_t now_us)
{
	uint64_t growth_integral;
	uint64_t integral = bb_holder_share_integral(g->o.holder, b->group,
						     now_us, &growth_integral);
	unsigned __int128 refilled =
		(unsigned __int128)(integral - b->integral) *
			(uint64_t)b->rate +
		b->remainder;
	unsigned __int128 whole = refilled / REFILL_UNIT;
	int64_t room = cap_at(g, b, now_us) - outstanding(b, now_us);

	b->integral = integral;
	b->remainder = refilled % REFILL_UNIT;
	if (whole >= (unsigned __int128)(INT64_MAX - b->level))
		b->level = INT64_MAX;
	else
		b->level += (int64_t)whole;
	if (b->level >= room) {
		b->level = MAX(room, 0);
		b->remainder = 0;
	}
	drop_expired(b, now_us);
}

static void refill_group(void *data, uint32_t group, int64_t now_us)
{
	struct bb_grantor *g = data;

	for (guint i = 0; g->groups[group] && i < g->groups[group]->len; i++)
		refill(g, g_ptr_array_index(g->groups[group], i), now_us);
}

static bool group_in_use(void *data, uint32_t group, int64_t now_us)
{
	struct bb_grantor *g = data;

	for (guint i = 0; g->groups[group] && i < g->groups[group]->len; i++) {
		struct bucket *b = g_ptr_array_index(g->groups[group], i);

		refill(g, b, now_us);
		if (outstanding(b, now_us))
			return true;
	}
	return false;
}

struct bb_grantor *bb_grantor_new(const struct bb_grantor_options *o)
{
	struct bb_grantor *g = g_new0(struct bb_grantor, 1);
	struct bb_holder_callbacks callbacks = { g, refill_group,
						 group_in_use };

	g->o = *o;
	g->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   bucket_delete);
	g->sessions = g_hash_table_new_full(session_hash, session_equal, NULL,
					    g_free);
	bb_holder_set_callbacks(o->holder, &callbacks);
	return g;
}

void bb_grantor_delete(struct bb_grantor *g)
{
	struct bb_holder_callbacks none = { 0 };

	if (!g)
		return;
	bb_holder_set_callbacks(g->o.holder, &none);
	g_hash_table_destroy(g->buckets);
	g_hash_table_destroy(g->sessions);
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		if (g->groups[i])
			g_ptr_array_free(g->groups[i], TRUE);
	bb_lease_map_unref(g->map);
	g_free(g);
}

/* Sets rate and burst of the account; 0 if it is not in the configuration. */
static void look_up_limits(const struct bb_grantor *g, struct bucket *b)
{
	const struct bb_account *a;
	uint32_t row = g->o.find_account(g->config, b->name, strlen(b->name));

	b->rate = 0;
	b->burst = 0;
	if (row == BB_NO_ROW)
		return;
	a = &g->config->accounts[row];
	/* The bound is far above any real rate and keeps products in range. */
	b->rate = (int64_t)(MIN(a->rate_per_s, 1e9) * 1e6);
	b->rate = (int64_t)((__int128)b->rate * (BB_PPM - g->o.drift_ppm) /
			    BB_PPM);
	b->burst = (int64_t)(MIN(a->burst, 1e9) * 1e6);
}

/*
 * An account that was not drawn from since the share last grew has at least the
 * tokens refilled since then, at the rate and burst in force since its last
 * bucket.
 */
static struct bucket *make_bucket(struct bb_grantor *g, uint64_t key,
				  const struct bb_bytes *account,
				  int64_t now_us)
{
	struct bucket *b = g_new0(struct bucket, 1);
	uint64_t growth_integral;

	b->key = key;
	b->contended_us = INT64_MIN / 2;
	b->name = g_strndup(account->data, account->size);
	b->group = bb_lease_group(account->data, account->size);
	b->held = g_array_new(FALSE, FALSE, sizeof(struct held_tokens));
	bb_holder_share_integral(g->o.holder, b->group, now_us,
				 &growth_integral);
	b->integral = growth_integral;
	look_up_limits(g, b);
	if (!g->groups[b->group])
		g->groups[b->group] = g_ptr_array_new();
	b->group_index = g->groups[b->group]->len;
	g_ptr_array_add(g->groups[b->group], b);
	g_hash_table_insert(g->buckets, &b->key, b);
	return b;
}

static bool limits_changed(const struct bb_grantor *g,
			   const struct bb_account *a)
{
	uint32_t row = g->o.find_account(g->config, a->name, strlen(a->name));
	const struct bb_account *last;

	if (row == BB_NO_ROW)
		return true;
	last = &g->config->accounts[row];
	return last->rate_per_s != a->rate_per_s || last->burst != a->burst;
}

/*
 * Makes a bucket for each account without one whose rate or burst is about to
 * change. Otherwise its bucket would be made later as if the new values had
 * been in force since the share last grew, and a burst that was lowered and
 * raised again could be spent twice. An account that is added starts with an
 * empty bucket, since it may have been removed only a moment ago.
 */
static void make_buckets_before_change(struct bb_grantor *g,
				       const struct bb_config *c,
				       int64_t now_us)
{
	for (size_t i = 0; i < c->accounts_nr; i++) {
		const struct bb_account *a = &c->accounts[i];
		struct bb_bytes name = { a->name, strlen(a->name) };
		uint64_t key = XXH3_64bits(name.data, name.size);

		/* Without a share, the level starts at 0 when a share is
		 * taken. */
		if (!bb_holder_share(g->o.holder,
				     bb_lease_group(name.data, name.size),
				     now_us) ||
		    g_hash_table_contains(g->buckets, &key) ||
		    !limits_changed(g, a))
			continue;
		refill(g, make_bucket(g, key, &name, now_us), now_us);
	}
}

void bb_grantor_set_config(struct bb_grantor *g, const struct bb_config *c,
			   struct bb_lease_map *m, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		refill(g, value, now_us);
	if (g->config)
		make_buckets_before_change(g, c, now_us);
	bb_lease_map_ref(m);
	bb_lease_map_unref(g->map);
	g->map = m;
	g->config = c;
	g_hash_table_iter_init(&iter, g->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		look_up_limits(g, value);
		refill(g, value, now_us);
	}
}

static void remove_bucket(struct bb_grantor *g, struct bucket *b)
{
	GPtrArray *group = g->groups[b->group];

	g_ptr_array_remove_index_fast(group, b->group_index);
	if (b->group_index < group->len) {
		struct bucket *moved = g_ptr_array_index(group, b->group_index);

		moved->group_index = b->group_index;
	}
}

static gboolean remove_if_full(gpointer key, gpointer value, gpointer data)
{
	struct bucket *b = value;
	struct {
		struct bb_grantor *g;
		int64_t now_us;
	} *call = data;

	(void)key;
	refill(call->g, b, call->now_us);
	if (b->held->len || b->level < cap_at(call->g, b, call->now_us))
		return FALSE;
	remove_bucket(call->g, b);
	return TRUE;
}

static gboolean is_idle_session(gpointer key, gpointer value, gpointer data)
{
	const struct session *s = value;

	(void)key;
	return *(int64_t *)data - s->last_us > SESSION_IDLE_US;
}

void bb_grantor_tick(struct bb_grantor *g, int64_t now_us)
{
	struct {
		struct bb_grantor *g;
		int64_t now_us;
	} call = { g, now_us };

	if (!g->config)
		return;
	g_hash_table_foreach_remove(g->buckets, remove_if_full, &call);
	g_hash_table_foreach_remove(g->sessions, is_idle_session, &now_us);
}

static struct session *get_session(struct bb_grantor *g, uint64_t host,
				   uint64_t incarnation)
{
	struct session key = { .host = host, .incarnation = incarnation };
	struct session *s = g_hash_table_lookup(g->sessions, &key);

	if (!s) {
		s = g_new0(struct session, 1);
		*s = key;
		s->number = ++g->last_session_number;
		g_hash_table_insert(g->sessions, s, s);
	}
	return s;
}

static struct held_tokens *find_held(struct bucket *b, uint32_t session)
{
	for (guint i = 0; i < b->held->len; i++) {
		struct held_tokens *h =
			&g_array_index(b->held, struct held_tokens, i);

		if (h->session == session)
			return h;
	}
	return NULL;
}

/* Accounts for what the sender spent and returned since its last draw. */
static struct held_tokens *update_held(struct bucket *b, uint32_t session,
				       const struct bb_draw *draw,
				       int64_t now_us)
{
	struct held_tokens *h = find_held(b, session);
	int64_t reported, unexpired;

	if (!h)
		return NULL;
	/* Tokens granted by an earlier process of this host are not counted
	 * here. */
	unexpired = held_amount(h, now_us);
	reported = MIN(unexpired, (int64_t)draw->held);
	b->level += MIN((int64_t)draw->returned, unexpired - reported);
	h->amount = reported;
	h->from_us = now_us;
	return h;
}

/*
 * Whole tokens that are refilled within the time that a request may wait, if
 * the share grew so recently that it has not refilled a full bucket since. An
 * account inside its rate may then have requests that a full bucket would have
 * admitted, so the drawer lets as many wait. Otherwise 0: the bucket is empty
 * because the account spent more than its rate.
 */
static uint32_t new_share_tokens(const struct bb_grantor *g,
				 const struct bucket *b, int64_t now_us)
{
	uint64_t share = bb_holder_share(g->o.holder, b->group, now_us);
	uint64_t growth_integral, span;
	__int128 tokens;

	bb_holder_share_integral(g->o.holder, b->group, now_us,
				 &growth_integral);
	span = b->integral - growth_integral;
	if (span >= NEW_SHARE_MAX_US * share ||
	    (unsigned __int128)span * (uint64_t)b->rate / REFILL_UNIT >=
		    (unsigned __int128)cap_at(g, b, now_us))
		return 0;
	tokens = (__int128)b->rate * share * BB_DRAW_WAIT_MAX_US / REFILL_UNIT /
		 BB_TOKEN;
	return MIN(tokens, BB_DRAW_RETRY_NEW_SHARE_BASE - 1);
}

/* Time until the bucket has one more token, or is full if it has room for less.
 */
static uint32_t retry_ms(const struct bb_grantor *g, const struct bucket *b,
			 int64_t wanted, int64_t now_us)
{
	uint32_t share = bb_holder_share(g->o.holder, b->group, now_us);
	int64_t cap = cap_at(g, b, now_us);
	int64_t target = MIN(MIN(wanted, BB_TOKEN), cap);
	uint32_t tokens;
	__int128 wait_ms;

	if (!b->rate || !share || target <= 0)
		return RETRY_MAX_MS;
	if (b->level + outstanding(b, now_us) >= cap)
		return RETRY_ALL_DRAWN_MS;
	tokens = new_share_tokens(g, b, now_us);
	if (tokens)
		return BB_DRAW_RETRY_NEW_SHARE_BASE + tokens;
	wait_ms = (__int128)(target - b->level) * REFILL_UNIT / b->rate /
		  share / BB_US_PER_MS;
	return CLAMP(wait_ms, RETRY_MIN_MS, RETRY_MAX_MS);
}

/* If there is room for few tokens only, unspent ones must be available again
 * sooner. */
static int64_t on_demand_valid_us(int64_t cap)
{
	return cap < SCARCE_BELOW ? SCARCE_VALID_US : BB_DRAW_VALID_SHORT_US;
}

/* Validity of a prefetch: if fewer tokens are granted than asked for, it is
 * shortened so that they expire at the rate that the sender asked for. */
static int64_t prefetch_valid_us(const struct bb_draw *draw, int64_t amount)
{
	int64_t wanted = (int64_t)draw->wanted + draw->held;
	int64_t us = (__int128)draw->valid_ms * BB_US_PER_MS *
		     MIN(amount, wanted) / wanted;

	return CLAMP(us, LINEAR_EXPIRY_MIN_US, BB_DRAW_VALID_MAX_US);
}

/*
 * Amount to grant. Prefetched tokens count against the burst until they are
 * reported spent, so a prefetch gets only a part of the available tokens, and
 * if that is less than PREFETCH_MIN, one token for a waiting request. Parts of
 * a token are granted only if less than a token is asked for or the share held
 * has room for less: parts at many senders are of no use to any of them.
 */
static int64_t grant_amount(int64_t wanted, int64_t available, int64_t cap,
			    int64_t leave_divisor, bool *prefetch)
{
	int64_t n = wanted;

	if (*prefetch) {
		int64_t available_ahead = available - available / leave_divisor;

		*prefetch = available_ahead >= PREFETCH_MIN;
		n = MIN(n, *prefetch ? available_ahead : BB_TOKEN);
	}
	n = MIN(n, available);
	if (n <= 0)
		return 0;
	if (cap >= WHOLE_TOKENS_FROM && wanted >= BB_TOKEN)
		n -= n % BB_TOKEN;
	return n;
}

/* Whether several senders asked for tokens in the last CONTENDED_US. */
static bool is_contended(struct bucket *b, uint32_t session, int64_t now_us)
{
	if (b->last_session && b->last_session != session)
		b->contended_us = now_us;
	b->last_session = session;
	return now_us - b->contended_us < CONTENDED_US;
}

/*
 * The answer may be lost, and the sender then goes on with the tokens that it
 * has, so these must still be covered.
 */
static void add_held(struct bucket *b, struct held_tokens *h,
		     const struct held_tokens *n)
{
	if (!h) {
		g_array_append_val(b->held, *n);
		return;
	}
	if (!h->amount)
		h->until_us = n->until_us;
	h->amount += n->amount;
	h->from_us = n->from_us;
	h->until_us = MAX(h->until_us, n->until_us);
	h->expires_linearly = n->expires_linearly;
}

static void answer_draw(struct bb_grantor *g, const struct session *s,
			const struct bb_draw *draw, struct bb_draw_grant *grant,
			int64_t now_us)
{
	uint64_t key = XXH3_64bits(draw->account.data, draw->account.size);
	struct bucket *b = g_hash_table_lookup(g->buckets, &key);
	int64_t valid_us = (int64_t)draw->valid_ms * BB_US_PER_MS;
	int64_t until_us, cap, drawn, n;
	bool prefetch = valid_us > BB_DRAW_VALID_SHORT_US;
	struct held_tokens fresh;
	struct held_tokens *h;

	if (!b)
		b = make_bucket(g, key, &draw->account, now_us);
	refill(g, b, now_us);
	h = update_held(b, s->number, draw, now_us);
	valid_us =
		CLAMP(valid_us, BB_DRAW_VALID_SHORT_US, BB_DRAW_VALID_MAX_US);
	until_us = bb_holder_valid_until(g->o.holder, b->group,
					 now_us + BB_DRAW_VALID_SHORT_US,
					 now_us + valid_us);
	if (!draw->wanted || !until_us)
		goto out;
	cap = cap_at(g, b, until_us);
	drawn = outstanding(b, now_us);
	n = grant_amount(draw->wanted, MIN(b->level, cap - drawn), cap,
			 is_contended(b, s->number, now_us) ?
				 LEAVE_DIVISOR_CONTENDED :
				 LEAVE_DIVISOR,
			 &prefetch);
	until_us = MIN(
		until_us,
		now_us + (prefetch ? prefetch_valid_us(draw, draw->held + n) :
				     on_demand_valid_us(cap)));
	if (drawn + n <= cap && n) {
		b->level -= n;
		grant->granted = n;
		grant->valid_ms = (until_us - now_us) / BB_US_PER_MS;
		fresh = (struct held_tokens){
			.session = s->number,
			.expires_linearly = grant->valid_ms > SHORT_VALID_MS,
			.amount = n,
			.from_us = now_us,
			.until_us = until_us,
		};
		add_held(b, h, &fresh);
	}
	if (n < MIN((int64_t)draw->wanted, BB_TOKEN)) {
		grant->retry_ms = retry_ms(g, b, draw->wanted - n, now_us);
		bb_log_event(BB_LOG_LEASE, G_LOG_LEVEL_INFO, NULL,
			     "account_empty",
			     "account=%s level_ms=%" G_GINT64_FORMAT
			     " drawn_ms=%" G_GINT64_FORMAT
			     " room_ms=%" G_GINT64_FORMAT
			     " rate=%" G_GINT64_FORMAT " retry_ms=%u",
			     b->name, b->level / 1000, drawn / 1000, cap / 1000,
			     b->rate / BB_TOKEN, grant->retry_ms);
	}
out:
	h = find_held(b, s->number);
	if (h && !h->amount)
		g_array_remove_index_fast(
			b->held,
			h - (struct held_tokens *)(void *)b->held->data);
}

void bb_grantor_receive(struct bb_grantor *g, uint32_t from_host,
			const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_draw *r = &m->draw;
	struct bb_message reply = { .type = BB_MESSAGE_DRAW_GRANT };
	struct bb_draw_grant *grants;
	struct session *s;
	uint64_t host;
	bool any = false;

	if (m->type != BB_MESSAGE_DRAW || !g->config)
		return;
	host = bb_lease_map_host_id(g->map, from_host);
	if (!host)
		return;
	s = get_session(g, host, r->incarnation);
	/* A late or repeated message: its figures are out of date. */
	if (r->nonce <= s->nonce)
		return;
	s->nonce = r->nonce;
	s->last_us = now_us;
	grants = g_new0(struct bb_draw_grant, r->draws_nr);
	for (size_t i = 0; i < r->draws_nr; i++) {
		answer_draw(g, s, &r->draws[i], &grants[i], now_us);
		any |= r->draws[i].wanted > 0;
	}
	reply.draw_grant.incarnation = g->o.incarnation;
	reply.draw_grant.nonce = r->nonce;
	reply.draw_grant.grants = grants;
	reply.draw_grant.grants_nr = r->draws_nr;
	if (any)
		g->o.send(g->o.data, from_host, &reply);
	g_free(grants);
}

size_t bb_grantor_buckets(const struct bb_grantor *g)
{
	return g_hash_table_size(g->buckets);
}
