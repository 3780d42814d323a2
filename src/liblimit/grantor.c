#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/limit.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "margin.h"

/* A sender that was silent this long has no token left. */
#define SESSION_IDLE_US (60 * BB_US_PER_S)
/*
 * A draw ahead of demand leaves one part in this many of what is there, so that
 * a sender that asks for the first time finds tokens; more if another sender
 * asked in the last CONTENDED_US.
 */
#define LEAVE_PART 8
#define LEAVE_PART_CONTENDED 2
#define CONTENDED_US (4 * BB_US_PER_S)
/* Fewer tokens are not worth drawing ahead. */
#define AHEAD_LEAST (4 * BB_TOKEN)
/* A share that has room for fewer tokens grants them for SCARCE_US only,
 * which is above the round trip between regions. */
#define SCARCE (4 * BB_TOKEN)
#define SCARCE_US (100 * BB_US_PER_MS)
/* Least time in which a falling lot falls. */
#define FALLING_LEAST_US (500 * BB_US_PER_MS)
/* Room for this much means that only whole ones are granted. */
#define WHOLE_FROM BB_TOKEN
/* Hint that all tokens are drawn: any of them may be known spent soon. */
#define RETRY_DRAWN_MS 1
#define RETRY_LEAST_MS 2
#define RETRY_MOST_MS 60000
/* Longest time for which a share counts as new: requests that waited when it
 * was taken, and those that came within the time that these may wait. */
#define NEW_SHARE_US (2 * BB_DRAW_WAIT_MAX_US)
/* Tokens that are valid for longer fall; see struct bb_draw_grant. */
#define SHORT_VALID_MS (BB_DRAW_VALID_SHORT_US / BB_US_PER_MS)

/* One process that draws; the number identifies it in lots. */
struct session {
	uint64_t host;
	uint64_t incarnation;
	uint64_t nonce;
	uint32_t number;
	int64_t last_us;
};

/*
 * Tokens that one sender may still have.
 * @falling: the sender gives them up along a line from @amount at @from_us to
 *           0 at @until_us, instead of all at the end
 */
struct lot {
	uint32_t session;
	bool falling;
	int64_t amount;
	int64_t from_us;
	int64_t until_us;
};

/*
 * Token bucket of one account, in micro-tokens.
 * @integral: share integral up to which @level was refilled
 * @remainder: part of a micro-token
 * @session: the last that asked
 * @contended_us: last time at which it was another than before
 */
struct bucket {
	uint64_t key;
	uint32_t group;
	uint32_t at;
	int64_t rate;
	int64_t burst;
	int64_t level;
	uint64_t integral;
	uint64_t remainder;
	uint32_t session;
	int64_t contended_us;
	GArray *lots;
	char *name;
};

struct bb_grantor {
	struct bb_grantor_options o;
	const struct bb_config *config;
	struct bb_lease_map *map;
	GHashTable *buckets;
	GHashTable *sessions;
	uint32_t sessions_made;
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

	g_array_free(b->lots, TRUE);
	g_free(b->name);
	g_free(b);
}

/* Rounded up. A lot that does not fall counts until it is dropped. */
static int64_t lot_amount(const struct lot *lot, int64_t now_us)
{
	int64_t span_us = lot->until_us - lot->from_us;

	if (!lot->falling)
		return lot->amount;
	if (now_us >= lot->until_us)
		return 0;
	return ((__int128)lot->amount * (lot->until_us - now_us) + span_us -
		1) /
	       span_us;
}

static int64_t outstanding(const struct bucket *b, int64_t now_us)
{
	int64_t sum = 0;

	for (guint i = 0; i < b->lots->len; i++)
		sum += lot_amount(&g_array_index(b->lots, struct lot, i),
				  now_us);
	return sum;
}

static void drop_expired(struct bucket *b, int64_t now_us)
{
	for (guint i = b->lots->len; i-- > 0;)
		if (now_us >= g_array_index(b->lots, struct lot, i).until_us)
			g_array_remove_index_fast(b->lots, i);
}

static int64_t cap_at(const struct bb_grantor *g, const struct bucket *b,
		      int64_t until_us)
{
	uint32_t share = bb_holder_share(g->o.holder, b->group, until_us);

	return (__int128)b->burst * share / BB_LEASE_SHARE_TOTAL;
}

/*
 * Refills up to now. Lots that expired since the last call still count against
 * the cap of this refill: had they been dropped first, time before their end
 * would refill what could be spent besides them. For falling lots the cap at
 * both ends of the refill is enough: the room that they leave is concave in
 * time, so the bound is tightest at one of the ends.
 */
static void settle(struct bb_grantor *g, struct bucket *b, int64_t now_us)
{
	uint64_t since;
	uint64_t integral =
		bb_holder_share_integral(g->o.holder, b->group, now_us, &since);
	unsigned __int128 refill = (unsigned __int128)(integral - b->integral) *
					   (uint64_t)b->rate +
				   b->remainder;
	unsigned __int128 whole = refill / REFILL_UNIT;
	int64_t room = cap_at(g, b, now_us) - outstanding(b, now_us);

	b->integral = integral;
	b->remainder = refill % REFILL_UNIT;
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

static void settle_group(void *data, uint32_t group, int64_t now_us)
{
	struct bb_grantor *g = data;

	for (guint i = 0; g->groups[group] && i < g->groups[group]->len; i++)
		settle(g, g_ptr_array_index(g->groups[group], i), now_us);
}

static bool group_in_use(void *data, uint32_t group, int64_t now_us)
{
	struct bb_grantor *g = data;

	for (guint i = 0; g->groups[group] && i < g->groups[group]->len; i++) {
		struct bucket *b = g_ptr_array_index(g->groups[group], i);

		settle(g, b, now_us);
		if (outstanding(b, now_us))
			return true;
	}
	return false;
}

struct bb_grantor *bb_grantor_new(const struct bb_grantor_options *o)
{
	struct bb_grantor *g = g_new0(struct bb_grantor, 1);
	struct bb_holder_callbacks callbacks = { g, settle_group,
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

/* Rate and burst of the account; 0 if the configuration has it no more. */
static void look_up(const struct bb_grantor *g, struct bucket *b)
{
	const struct bb_account *a;
	uint32_t row = g->o.find_account(g->config, b->name, strlen(b->name));

	b->rate = 0;
	b->burst = 0;
	if (row == BB_NO_ROW)
		return;
	a = &g->config->accounts[row];
	/* A bound far above any real rate that keeps products in range. */
	b->rate = (int64_t)(MIN(a->rate_per_s, 1e9) * 1e6);
	b->rate = (int64_t)((__int128)b->rate * (BB_PPM - g->o.drift_ppm) /
			    BB_PPM);
	b->burst = (int64_t)(MIN(a->burst, 1e9) * 1e6);
}

/*
 * An account that was not drawn since the share last grew has at least the
 * refill since then, at the rate and burst in force since its last bucket.
 */
static struct bucket *make_bucket(struct bb_grantor *g, uint64_t key,
				  const struct bb_bytes *account,
				  int64_t now_us)
{
	struct bucket *b = g_new0(struct bucket, 1);
	uint64_t since;

	b->key = key;
	b->contended_us = INT64_MIN / 2;
	b->name = g_strndup(account->data, account->size);
	b->group = bb_lease_group(account->data, account->size);
	b->lots = g_array_new(FALSE, FALSE, sizeof(struct lot));
	bb_holder_share_integral(g->o.holder, b->group, now_us, &since);
	b->integral = since;
	look_up(g, b);
	if (!g->groups[b->group])
		g->groups[b->group] = g_ptr_array_new();
	b->at = g->groups[b->group]->len;
	g_ptr_array_add(g->groups[b->group], b);
	g_hash_table_insert(g->buckets, &b->key, b);
	return b;
}

static bool is_changed(const struct bb_grantor *g, const struct bb_account *a)
{
	uint32_t row = g->o.find_account(g->config, a->name, strlen(a->name));
	const struct bb_account *last;

	if (row == BB_NO_ROW)
		return true;
	last = &g->config->accounts[row];
	return last->rate_per_s != a->rate_per_s || last->burst != a->burst;
}

/*
 * An account without a bucket gets one before its rate or burst changes:
 * otherwise its bucket would be made later as if the new ones had been in
 * force since the share last grew, and a burst that was lowered and raised
 * again could be spent twice. An added account starts empty, since it may have
 * been removed only a moment ago.
 */
static void keep_levels(struct bb_grantor *g, const struct bb_config *c,
			int64_t now_us)
{
	for (size_t i = 0; i < c->accounts_nr; i++) {
		const struct bb_account *a = &c->accounts[i];
		struct bb_bytes name = { a->name, strlen(a->name) };
		uint64_t key = XXH3_64bits(name.data, name.size);

		/* Without a share, the level starts anew when it grows. */
		if (!bb_holder_share(g->o.holder,
				     bb_lease_group(name.data, name.size),
				     now_us) ||
		    g_hash_table_contains(g->buckets, &key) ||
		    !is_changed(g, a))
			continue;
		settle(g, make_bucket(g, key, &name, now_us), now_us);
	}
}

void bb_grantor_set_config(struct bb_grantor *g, const struct bb_config *c,
			   struct bb_lease_map *m, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		settle(g, value, now_us);
	if (g->config)
		keep_levels(g, c, now_us);
	bb_lease_map_ref(m);
	bb_lease_map_unref(g->map);
	g->map = m;
	g->config = c;
	g_hash_table_iter_init(&iter, g->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		look_up(g, value);
		settle(g, value, now_us);
	}
}

static void forget_bucket(struct bb_grantor *g, struct bucket *b)
{
	GPtrArray *group = g->groups[b->group];

	g_ptr_array_remove_index_fast(group, b->at);
	if (b->at < group->len) {
		struct bucket *moved = g_ptr_array_index(group, b->at);

		moved->at = b->at;
	}
}

static gboolean is_forgettable(gpointer key, gpointer value, gpointer data)
{
	struct bucket *b = value;
	struct {
		struct bb_grantor *g;
		int64_t now_us;
	} *call = data;

	(void)key;
	settle(call->g, b, call->now_us);
	if (b->lots->len || b->level < cap_at(call->g, b, call->now_us))
		return FALSE;
	forget_bucket(call->g, b);
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
	g_hash_table_foreach_remove(g->buckets, is_forgettable, &call);
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
		s->number = ++g->sessions_made;
		g_hash_table_insert(g->sessions, s, s);
	}
	return s;
}

static struct lot *find_lot(struct bucket *b, uint32_t session)
{
	for (guint i = 0; i < b->lots->len; i++) {
		struct lot *lot = &g_array_index(b->lots, struct lot, i);

		if (lot->session == session)
			return lot;
	}
	return NULL;
}

/* Notes what the sender has spent and returned since its last draw. */
static struct lot *update_lot(struct bucket *b, uint32_t session,
			      const struct bb_draw *draw, int64_t now_us)
{
	struct lot *lot = find_lot(b, session);
	int64_t held, most;

	if (!lot)
		return NULL;
	/* Tokens of an earlier process of this host are not in the lot. */
	most = lot_amount(lot, now_us);
	held = MIN(most, (int64_t)draw->held);
	b->level += MIN((int64_t)draw->returned, most - held);
	lot->amount = held;
	lot->from_us = now_us;
	return lot;
}

/*
 * Whole tokens that refill within the time that a request waits, if the share
 * grew so recently that it has not refilled a full bucket since. An account
 * inside its rate then has requests that a full bucket would have admitted, so
 * the drawer lets as many wait. Otherwise 0: an empty bucket was overspent.
 */
static uint32_t new_share_tokens(const struct bb_grantor *g,
				 const struct bucket *b, int64_t now_us)
{
	uint64_t share = bb_holder_share(g->o.holder, b->group, now_us);
	uint64_t since, span;
	__int128 tokens;

	bb_holder_share_integral(g->o.holder, b->group, now_us, &since);
	span = b->integral - since;
	if (span >= NEW_SHARE_US * share ||
	    (unsigned __int128)span * (uint64_t)b->rate / REFILL_UNIT >=
		    (unsigned __int128)cap_at(g, b, now_us))
		return 0;
	tokens = (__int128)b->rate * share * BB_DRAW_WAIT_MAX_US / REFILL_UNIT /
		 BB_TOKEN;
	return MIN(tokens, BB_DRAW_RETRY_NEW_SHARE_BASE - 1);
}

/* Time until the bucket has the next token, or all that fits in it. */
static uint32_t retry_ms(const struct bb_grantor *g, const struct bucket *b,
			 int64_t wanted, int64_t now_us)
{
	uint32_t share = bb_holder_share(g->o.holder, b->group, now_us);
	int64_t cap = cap_at(g, b, now_us);
	int64_t target = MIN(MIN(wanted, BB_TOKEN), cap);
	uint32_t tokens;
	__int128 wait_ms;

	if (!b->rate || !share || target <= 0)
		return RETRY_MOST_MS;
	if (b->level + outstanding(b, now_us) >= cap)
		return RETRY_DRAWN_MS;
	tokens = new_share_tokens(g, b, now_us);
	if (tokens)
		return BB_DRAW_RETRY_NEW_SHARE_BASE + tokens;
	wait_ms = (__int128)(target - b->level) * REFILL_UNIT / b->rate /
		  share / BB_US_PER_MS;
	return CLAMP(wait_ms, RETRY_LEAST_MS, RETRY_MOST_MS);
}

/* Where few tokens have room, each must come back sooner. */
static int64_t short_us(int64_t cap)
{
	return cap < SCARCE ? SCARCE_US : BB_DRAW_VALID_SHORT_US;
}

/* Keeps the slope that the sender asked for when it gets less. */
static int64_t falling_us(const struct bb_draw *draw, int64_t amount)
{
	int64_t wanted = (int64_t)draw->wanted + draw->held;
	int64_t us = (__int128)draw->valid_ms * BB_US_PER_MS *
		     MIN(amount, wanted) / wanted;

	return CLAMP(us, FALLING_LEAST_US, BB_DRAW_VALID_MAX_US);
}

/*
 * Amount to grant. Tokens that are drawn ahead count against the burst until
 * they are reported spent, so a sender gets only a part of what is there, and
 * if that is little, one token for a request that waits. Parts of a token are
 * granted only where the share held has room for few tokens, since parts at
 * many senders are of no use to any.
 */
static int64_t amount(int64_t wanted, int64_t available, int64_t cap,
		      int64_t leave_part, bool *ahead)
{
	int64_t n = wanted;

	if (*ahead) {
		int64_t most = available - available / leave_part;

		*ahead = most >= AHEAD_LEAST;
		n = MIN(n, *ahead ? most : BB_TOKEN);
	}
	n = MIN(n, available);
	if (n <= 0)
		return 0;
	if (cap >= WHOLE_FROM && wanted >= BB_TOKEN)
		n -= n % BB_TOKEN;
	return n;
}

static bool is_contended(struct bucket *b, uint32_t session, int64_t now_us)
{
	if (b->session && b->session != session)
		b->contended_us = now_us;
	b->session = session;
	return now_us - b->contended_us < CONTENDED_US;
}

/*
 * The sender may miss the answer and go on with what it has, so the lot must
 * cover that as well.
 */
static void add_to_lot(struct bucket *b, struct lot *lot, const struct lot *n)
{
	if (!lot) {
		g_array_append_val(b->lots, *n);
		return;
	}
	if (!lot->amount)
		lot->until_us = n->until_us;
	lot->amount += n->amount;
	lot->from_us = n->from_us;
	lot->until_us = MAX(lot->until_us, n->until_us);
	lot->falling = n->falling;
}

static void answer(struct bb_grantor *g, const struct session *s,
		   const struct bb_draw *draw, struct bb_draw_grant *grant,
		   int64_t now_us)
{
	uint64_t key = XXH3_64bits(draw->account.data, draw->account.size);
	struct bucket *b = g_hash_table_lookup(g->buckets, &key);
	int64_t most_us = (int64_t)draw->valid_ms * BB_US_PER_MS;
	int64_t until_us, cap, out, n;
	bool ahead = most_us > BB_DRAW_VALID_SHORT_US;
	struct lot fresh;
	struct lot *lot;

	if (!b)
		b = make_bucket(g, key, &draw->account, now_us);
	settle(g, b, now_us);
	lot = update_lot(b, s->number, draw, now_us);
	most_us = CLAMP(most_us, BB_DRAW_VALID_SHORT_US, BB_DRAW_VALID_MAX_US);
	until_us = bb_holder_valid_until(g->o.holder, b->group,
					 now_us + BB_DRAW_VALID_SHORT_US,
					 now_us + most_us);
	if (!draw->wanted || !until_us)
		goto out;
	cap = cap_at(g, b, until_us);
	out = outstanding(b, now_us);
	n = amount(draw->wanted, MIN(b->level, cap - out), cap,
		   is_contended(b, s->number, now_us) ? LEAVE_PART_CONTENDED :
							LEAVE_PART,
		   &ahead);
	until_us = MIN(until_us,
		       now_us + (ahead ? falling_us(draw, draw->held + n) :
					 short_us(cap)));
	if (out + n <= cap && n) {
		b->level -= n;
		grant->granted = n;
		grant->valid_ms = (until_us - now_us) / BB_US_PER_MS;
		fresh = (struct lot){
			.session = s->number,
			.falling = grant->valid_ms > SHORT_VALID_MS,
			.amount = n,
			.from_us = now_us,
			.until_us = until_us,
		};
		add_to_lot(b, lot, &fresh);
	}
	if (n < MIN((int64_t)draw->wanted, BB_TOKEN)) {
		grant->retry_ms = retry_ms(g, b, draw->wanted - n, now_us);
		bb_log_event(BB_LOG_LEASE, G_LOG_LEVEL_INFO, NULL,
			     "account_empty",
			     "account=%s level_ms=%" G_GINT64_FORMAT
			     " drawn_ms=%" G_GINT64_FORMAT
			     " room_ms=%" G_GINT64_FORMAT
			     " rate=%" G_GINT64_FORMAT " retry_ms=%u",
			     b->name, b->level / 1000, out / 1000, cap / 1000,
			     b->rate / BB_TOKEN, grant->retry_ms);
	}
out:
	lot = find_lot(b, s->number);
	if (lot && !lot->amount)
		g_array_remove_index_fast(
			b->lots, lot - (struct lot *)(void *)b->lots->data);
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
	/* Late or repeated: its figures are older than those known. */
	if (r->nonce <= s->nonce)
		return;
	s->nonce = r->nonce;
	s->last_us = now_us;
	grants = g_new0(struct bb_draw_grant, r->draws_nr);
	for (size_t i = 0; i < r->draws_nr; i++) {
		answer(g, s, &r->draws[i], &grants[i], now_us);
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
