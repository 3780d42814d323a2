#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "margin.h"
#include "preferred_holder.h"

/* Remaining time at which a lease is renewed: two more tries fit in. */
#define RENEW_US (3 * BB_US_PER_S)
/* A request without an answer is sent again after this time. */
#define RETRY_US (1 * BB_US_PER_S)
/* A refused lease is asked for again after this time. */
#define REFUSED_US (2 * BB_US_PER_S)
/* Validity of a group that is held by rank; longer than some ticks. */
#define RANKED_TERM_US (1200 * BB_US_PER_MS)
/* Reachable hosts, in thousandths, below which a part of a group is held. */
#define RANKED_WHOLE_PERMILLE 500
/* Requests to one lender whose answers are awaited. */
#define ASKED_MAX 4

/*
 * The share of one lender in one group.
 * @since_us: start of the time without a gap up to @until_us
 * @counted_us: up to this time it is part of the group's integral
 * @least_nonce: answers to requests before this one no longer count
 */
struct seat {
	uint64_t lender;
	uint32_t share;
	int64_t until_us;
	int64_t since_us;
	int64_t counted_us;
	int64_t next_us;
	uint64_t least_nonce;
};

/*
 * A group that this host holds, held or asked for. Entries stay, because the
 * integral must not start again while buckets refer to it.
 */
struct held {
	uint32_t group;
	uint64_t integral;
	uint64_t since;
	GArray *seats;
};

struct asked {
	uint64_t nonce;
	int64_t sent_us;
};

/* A lender, its awaited answers and the groups of the next request. */
struct lender {
	uint64_t id;
	struct asked asked[ASKED_MAX];
	uint32_t asked_next;
	GArray *groups;
};

struct bb_holder {
	struct bb_holder_options o;
	struct bb_holder_callbacks callbacks;
	uint64_t self;
	struct bb_lease_map *map;
	uint64_t version;
	uint64_t nonce;
	bool stopping;
	GHashTable *held;
	GHashTable *lenders;
	GArray *own_groups;
};

static void held_delete(gpointer data)
{
	struct held *e = data;

	g_array_free(e->seats, TRUE);
	g_free(e);
}

static void lender_delete(gpointer data)
{
	struct lender *l = data;

	g_array_free(l->groups, TRUE);
	g_free(l);
}

struct bb_holder *bb_holder_new(const struct bb_holder_options *o)
{
	struct bb_holder *h = g_new0(struct bb_holder, 1);

	h->o = *o;
	h->self = XXH3_64bits(o->self, strlen(o->self));
	h->o.self = NULL;
	h->held = g_hash_table_new_full(NULL, NULL, NULL, held_delete);
	h->lenders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   lender_delete);
	h->own_groups = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return h;
}

void bb_holder_delete(struct bb_holder *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->held);
	g_hash_table_destroy(h->lenders);
	g_array_free(h->own_groups, TRUE);
	bb_lease_map_unref(h->map);
	g_free(h);
}

void bb_holder_set_callbacks(struct bb_holder *h,
			     const struct bb_holder_callbacks *u)
{
	h->callbacks = *u;
}

static struct held *find_held(const struct bb_holder *h, uint32_t group)
{
	return g_hash_table_lookup(h->held, GUINT_TO_POINTER(group));
}

static struct held *get_held(struct bb_holder *h, uint32_t group)
{
	struct held *e = find_held(h, group);

	if (!e) {
		e = g_new0(struct held, 1);
		e->group = group;
		e->seats = g_array_new(FALSE, TRUE, sizeof(struct seat));
		g_hash_table_insert(h->held, GUINT_TO_POINTER(group), e);
	}
	return e;
}

static struct seat *find_seat(struct held *e, uint64_t lender)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (s->lender == lender)
			return s;
	}
	return NULL;
}

static struct seat *get_seat(struct held *e, uint64_t lender)
{
	struct seat s = { .lender = lender, .until_us = INT64_MIN / 4 };
	struct seat *found = find_seat(e, lender);

	if (found)
		return found;
	g_array_append_val(e->seats, s);
	return &g_array_index(e->seats, struct seat, e->seats->len - 1);
}

static struct lender *get_lender(struct bb_holder *h, uint64_t id)
{
	struct lender *l = g_hash_table_lookup(h->lenders, &id);

	if (!l) {
		l = g_new0(struct lender, 1);
		l->id = id;
		l->groups = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(h->lenders, &l->id, l);
	}
	return l;
}

/* Seats of lenders that left the committee are dropped when they end. */
static void drop_former_seats(struct bb_holder *h, struct held *e,
			      int64_t now_us)
{
	for (guint i = e->seats->len; i-- > 0;) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us >= s->until_us && s->counted_us >= s->until_us &&
		    bb_lease_map_find(h->map, s->lender) == BB_NO_ROW)
			g_array_remove_index_fast(e->seats, i);
	}
}

static void mark_group(bool *used, const char *name)
{
	used[bb_lease_group(name, strlen(name))] = true;
}

/*
 * Groups in whose committee this host is. Without leases, only those of client
 * accounts and services: no other may be asked for.
 */
static void find_own_groups(struct bb_holder *h, const struct bb_config *c)
{
	uint32_t seats = bb_lease_map_seats(h->map);
	bool used[BB_LEASE_GROUPS] = { 0 };

	for (size_t i = 0; i < c->accounts_nr; i++)
		mark_group(used, c->accounts[i].name);
	for (size_t i = 0; i < c->services_nr; i++)
		mark_group(used, c->services[i].name);
	g_array_set_size(h->own_groups, 0);
	for (uint32_t group = 0; group < BB_LEASE_GROUPS; group++) {
		if (h->o.reachable_permille && !used[group])
			continue;
		for (uint32_t rank = 0; rank < seats; rank++) {
			uint32_t host = bb_lease_map_seat(h->map, group, rank);

			if (bb_lease_map_host_id(h->map, host) == h->self)
				g_array_append_val(h->own_groups, group);
		}
	}
}

void bb_holder_set_config(struct bb_holder *h, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	bb_lease_map_ref(m);
	bb_lease_map_unref(h->map);
	h->map = m;
	h->version = c->version;
	find_own_groups(h, c);
	g_hash_table_iter_init(&iter, h->held);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_former_seats(h, value, now_us);
}

/* Adds the share held up to now to the integral. */
static void advance(struct held *e, int64_t now_us)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);
		int64_t end = MIN(now_us, s->until_us);

		if (end <= s->counted_us)
			continue;
		e->integral += (uint64_t)(end - s->counted_us) * s->share;
		s->counted_us = end;
	}
}

static void want(struct bb_holder *h, struct held *e, struct seat *s,
		 int64_t now_us)
{
	struct lender *l;

	if (s->until_us - now_us > RENEW_US || now_us < s->next_us)
		return;
	s->next_us = now_us + RETRY_US;
	l = get_lender(h, s->lender);
	g_array_append_val(l->groups, e->group);
}

/* Asks for the seats that the lenders should give to this host. */
static void want_group(struct bb_holder *h, uint32_t group, int64_t now_us)
{
	uint32_t seats = bb_lease_map_seats(h->map);
	bool wanted[2];

	/* Ranks of one parity prefer the same host. */
	for (uint32_t rank = 0; rank < 2; rank++) {
		uint32_t host = bb_preferred_holder(
			h->map, group, rank, h->o.alive, h->o.data, now_us);

		wanted[rank] = bb_lease_map_host_id(h->map, host) == h->self;
	}
	for (uint32_t rank = 0; rank < seats; rank++) {
		uint32_t lender = bb_lease_map_seat(h->map, group, rank);
		struct held *e;

		if (!wanted[rank % 2])
			continue;
		e = get_held(h, group);
		want(h, e, get_seat(e, bb_lease_map_host_id(h->map, lender)),
		     now_us);
	}
}

static void want_renewals(struct bb_holder *h, struct held *e, int64_t now_us)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us)
			want(h, e, s, now_us);
	}
}

/* Entry for the seats of one parity of a group that is held by rank. */
static uint64_t parity_id(const struct bb_holder *h, uint32_t parity)
{
	return h->self + parity;
}

/* Takes the seats of one parity, which have a share in all, or renews them. */
static void hold_parity(struct bb_holder *h, uint32_t group, uint32_t parity,
			uint32_t share, int64_t now_us)
{
	uint32_t host = bb_preferred_holder(h->map, group, parity, h->o.alive,
					    h->o.data, now_us);
	bool mine = bb_lease_map_host_id(h->map, host) == h->self;
	struct held *e = mine ? get_held(h, group) : find_held(h, group);
	struct seat *s;

	if (!e)
		return;
	s = get_seat(e, parity_id(h, parity));
	if (!mine) {
		advance(e, now_us);
		s->until_us = MIN(s->until_us, now_us);
		return;
	}
	if (s->until_us <= now_us || share > s->share) {
		if (h->callbacks.before_growth)
			h->callbacks.before_growth(h->callbacks.data, group,
						   now_us);
		advance(e, now_us);
		if (s->until_us <= now_us)
			s->since_us = now_us;
		e->since = e->integral;
		s->counted_us = now_us;
	}
	advance(e, now_us);
	s->share = share;
	s->until_us = now_us + RANKED_TERM_US;
}

static void hold_all_ranked(struct bb_holder *h, int64_t now_us)
{
	uint32_t permille = h->o.reachable_permille(h->o.data, now_us);
	uint32_t share = BB_LEASE_SHARE_TOTAL / BB_LEASE_HOLDERS;

	if (permille < RANKED_WHOLE_PERMILLE)
		share = (uint32_t)((uint64_t)share * permille / 1000);
	for (guint i = 0; i < h->own_groups->len; i++) {
		uint32_t group = g_array_index(h->own_groups, uint32_t, i);

		for (uint32_t p = 0; p < BB_LEASE_HOLDERS; p++)
			hold_parity(h, group, p, share, now_us);
	}
}

static void send_request(struct bb_holder *h, struct lender *l, int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_LEASE_REQUEST };
	uint32_t host = bb_lease_map_find(h->map, l->id);
	struct asked *a = &l->asked[l->asked_next++ % ASKED_MAX];

	a->nonce = ++h->nonce;
	a->sent_us = now_us;
	m.lease_request.incarnation = h->o.incarnation;
	m.lease_request.config_version = h->version;
	m.lease_request.nonce = a->nonce;
	m.lease_request.groups = (uint32_t *)(void *)l->groups->data;
	m.lease_request.groups_nr = l->groups->len;
	if (host != BB_NO_ROW)
		h->o.send(h->o.data, host, &m);
}

static void send_release(struct bb_holder *h, struct held *e, struct seat *s)
{
	struct bb_message m = { .type = BB_MESSAGE_LEASE_RELEASE };
	uint32_t host = bb_lease_map_find(h->map, s->lender);

	s->least_nonce = ++h->nonce;
	m.lease_release.incarnation = h->o.incarnation;
	m.lease_release.nonce = h->nonce;
	m.lease_release.groups = &e->group;
	m.lease_release.groups_nr = 1;
	if (host != BB_NO_ROW)
		h->o.send(h->o.data, host, &m);
}

static void release_unused(struct bb_holder *h, struct held *e, int64_t now_us)
{
	if (h->callbacks.in_use &&
	    h->callbacks.in_use(h->callbacks.data, e->group, now_us))
		return;
	advance(e, now_us);
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us >= s->until_us)
			continue;
		s->until_us = now_us;
		send_release(h, e, s);
	}
}

void bb_holder_tick(struct bb_holder *h, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!h->map)
		return;
	if (h->o.reachable_permille && !h->stopping) {
		hold_all_ranked(h, now_us);
		return;
	}
	for (guint i = 0; !h->stopping && i < h->own_groups->len; i++)
		want_group(h, g_array_index(h->own_groups, uint32_t, i),
			   now_us);
	g_hash_table_iter_init(&iter, h->held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (h->stopping)
			release_unused(h, value, now_us);
		else
			want_renewals(h, value, now_us);
	}
	g_hash_table_iter_init(&iter, h->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lender *l = value;

		if (!l->groups->len)
			continue;
		send_request(h, l, now_us);
		g_array_set_size(l->groups, 0);
	}
}

static const struct asked *find_asked(const struct lender *l, uint64_t nonce)
{
	for (uint32_t i = 0; l && i < ASKED_MAX; i++)
		if (l->asked[i].nonce == nonce)
			return &l->asked[i];
	return NULL;
}

static void take_lease(struct bb_holder *h, struct held *e, struct seat *s,
		       const struct bb_lease_grant *grant, int64_t until_us,
		       int64_t now_us)
{
	uint32_t share = BB_LEASE_SHARE_TOTAL / grant->seats;
	bool runs = now_us < s->until_us;

	if (until_us <= now_us || (runs && until_us <= s->until_us))
		return;
	if (!runs)
		s->since_us = now_us;
	if (!runs || share > s->share) {
		if (h->callbacks.before_growth)
			h->callbacks.before_growth(h->callbacks.data, e->group,
						   now_us);
		advance(e, now_us);
		e->since = e->integral;
		s->counted_us = now_us;
	}
	advance(e, now_us);
	s->share = share;
	s->until_us = until_us;
	s->next_us = 0;
}

static void receive_lease(struct bb_holder *h, uint64_t lender, uint64_t nonce,
			  int64_t sent_us, const struct bb_lease_grant *grant,
			  int64_t now_us)
{
	struct held *e = find_held(h, grant->group);
	struct seat *s = e ? find_seat(e, lender) : NULL;
	int64_t term_us = (int64_t)grant->term_ms * BB_US_PER_MS;

	if (!s || nonce < s->least_nonce)
		return;
	if (!grant->term_ms) {
		s->next_us = MAX(s->next_us, now_us + REFUSED_US);
		return;
	}
	if (grant->seats < 1 || grant->seats > BB_LEASE_COMMITTEE_MAX)
		return;
	take_lease(h, e, s, grant,
		   sent_us + bb_margin_shorten(term_us, h->o.drift_ppm),
		   now_us);
}

void bb_holder_receive(struct bb_holder *h, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_lease_grant *r = &m->lease_grant;
	const struct asked *a;
	uint64_t lender;

	if (m->type != BB_MESSAGE_LEASE_GRANT || !h->map || h->stopping)
		return;
	lender = bb_lease_map_host_id(h->map, from_host);
	a = find_asked(g_hash_table_lookup(h->lenders, &lender), r->nonce);
	if (!lender || !r->nonce || !a)
		return;
	for (size_t i = 0; i < r->grants_nr; i++)
		receive_lease(h, lender, r->nonce, a->sent_us, &r->grants[i],
			      now_us);
}

/* Seats that an entry stands for: all of its parity without leases. */
static uint32_t seats_of(const struct bb_holder *h, const struct seat *s)
{
	uint32_t seats = bb_lease_map_seats(h->map);

	if (!h->o.reachable_permille)
		return 1;
	return s->lender == parity_id(h, 0) ? (seats + 1) / 2 : seats / 2;
}

uint32_t bb_holder_seats(const struct bb_holder *h, uint32_t group,
			 int64_t now_us)
{
	const struct held *e = find_held(h, group);
	uint32_t nr = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us)
			nr += seats_of(h, s);
	}
	return nr;
}

uint32_t bb_holder_seats_since(const struct bb_holder *h, uint32_t group,
			       int64_t since_us, int64_t now_us)
{
	const struct held *e = find_held(h, group);
	uint32_t nr = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us && s->since_us <= since_us)
			nr += seats_of(h, s);
	}
	return nr;
}

uint32_t bb_holder_share(const struct bb_holder *h, uint32_t group,
			 int64_t until_us)
{
	const struct held *e = find_held(h, group);
	uint32_t share = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (until_us < s->until_us)
			share += s->share;
	}
	return MIN(share, (uint32_t)BB_LEASE_SHARE_TOTAL);
}

int64_t bb_holder_valid_until(const struct bb_holder *h, uint32_t group,
			      int64_t least_us, int64_t most_us)
{
	const struct held *e = find_held(h, group);
	int64_t end = most_us;
	bool any = false;

	for (guint i = 0; e && !h->stopping && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (s->until_us <= least_us)
			continue;
		any = true;
		/* Still held one microsecond before the end. */
		end = MIN(end, s->until_us - 1);
	}
	return any ? end : 0;
}

uint64_t bb_holder_share_integral(struct bb_holder *h, uint32_t group,
				  int64_t now_us, uint64_t *since)
{
	struct held *e = find_held(h, group);

	*since = 0;
	if (!e)
		return 0;
	advance(e, now_us);
	*since = e->since;
	return e->integral;
}

void bb_holder_stop(struct bb_holder *h)
{
	h->stopping = true;
}

size_t bb_holder_groups(const struct bb_holder *h, int64_t now_us)
{
	GHashTableIter iter;
	gpointer key;
	size_t nr = 0;

	g_hash_table_iter_init(&iter, h->held);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		nr += bb_holder_seats(h, GPOINTER_TO_UINT(key), now_us) > 0;
	return nr;
}
