/*
 * Borrows the shares of client-account groups from the lenders of their
 * committees, and renews or releases them. A share counts as held only until
 * its lease ends on this host's clock, shortened by the largest clock drift.
 */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "margin.h"
#include "preferred_holder.h"

/* Remaining time at which a lease is renewed: enough for two retries. */
#define RENEW_BEFORE_US (3 * BB_US_PER_S)
/* Time after which a request without an answer is sent again. */
#define REQUEST_RETRY_US (1 * BB_US_PER_S)
/* Time after which a refused lease is asked for again. */
#define REFUSED_RETRY_US (2 * BB_US_PER_S)
/* Validity of a group that is held by rank instead of by lease; it covers
 * several ticks. */
#define RANKED_TERM_US (1200 * BB_US_PER_MS)
/* If fewer thousandths of the hosts are reachable, only that part of a share is
 * held by rank. */
#define RANKED_FULL_SHARE_PERMILLE 500
/* Most requests to one lender whose answers are still accepted. */
#define PENDING_REQUESTS_MAX 4

/*
 * The share of one group that one lender lends to this host.
 * @lender: identifier of the lender's host; parity_id() without leases
 * @share: part of the group, of BB_LEASE_SHARE_TOTAL
 * @until_us: end of the lease
 * @since_us: time since which it is held without a gap
 * @integrated_us: time up to which it is part of the group's integral
 * @next_request_us: it is not asked for before this time
 * @min_nonce: answers to requests with a lower nonce are ignored
 */
struct seat {
	uint64_t lender;
	uint32_t share;
	int64_t until_us;
	int64_t since_us;
	int64_t integrated_us;
	int64_t next_request_us;
	uint64_t min_nonce;
};

/*
 * A group that this host holds, has held or has asked for. Entries are never
 * removed: the integral must not restart while buckets refer to it.
 * @integral: share held, summed over time, in share times microseconds
 * @growth_integral: value of @integral at which the share last grew
 */
struct held_group {
	uint32_t group;
	uint64_t integral;
	uint64_t growth_integral;
	GArray *seats;
};

/* A request whose answer is still accepted. */
struct pending_request {
	uint64_t nonce;
	int64_t sent_us;
};

/*
 * A lender.
 * @pending: ring of the last requests
 * @request_groups: groups of the next request
 */
struct lender {
	uint64_t id;
	struct pending_request pending[PENDING_REQUESTS_MAX];
	uint32_t pending_next;
	GArray *request_groups;
};

/*
 * State of one holder.
 * @self: identifier of this host
 * @version: version of the configuration
 * @nonce: of the last message sent
 * @own_groups: groups in whose committee this host is
 */
struct bb_holder {
	struct bb_holder_options o;
	struct bb_holder_callbacks callbacks;
	uint64_t self;
	struct bb_lease_map *map;
	uint64_t version;
	uint64_t nonce;
	bool stopping;
	GHashTable *held_groups;
	GHashTable *lenders;
	GArray *own_groups;
};

static void held_group_delete(gpointer data)
{
	struct held_group *e = data;

	g_array_free(e->seats, TRUE);
	g_free(e);
}

static void lender_delete(gpointer data)
{
	struct lender *l = data;

	g_array_free(l->request_groups, TRUE);
	g_free(l);
}

struct bb_holder *bb_holder_new(const struct bb_holder_options *o)
{
	struct bb_holder *h = g_new0(struct bb_holder, 1);

	h->o = *o;
	h->self = XXH3_64bits(o->self, strlen(o->self));
	h->o.self = NULL;
	h->held_groups =
		g_hash_table_new_full(NULL, NULL, NULL, held_group_delete);
	h->lenders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   lender_delete);
	h->own_groups = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return h;
}

void bb_holder_delete(struct bb_holder *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->held_groups);
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

static struct held_group *find_held_group(const struct bb_holder *h,
					  uint32_t group)
{
	return g_hash_table_lookup(h->held_groups, GUINT_TO_POINTER(group));
}

static struct held_group *get_held_group(struct bb_holder *h, uint32_t group)
{
	struct held_group *e = find_held_group(h, group);

	if (!e) {
		e = g_new0(struct held_group, 1);
		e->group = group;
		e->seats = g_array_new(FALSE, TRUE, sizeof(struct seat));
		g_hash_table_insert(h->held_groups, GUINT_TO_POINTER(group), e);
	}
	return e;
}

static struct seat *find_seat(struct held_group *e, uint64_t lender)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (s->lender == lender)
			return s;
	}
	return NULL;
}

static struct seat *get_seat(struct held_group *e, uint64_t lender)
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
		l->request_groups = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(h->lenders, &l->id, l);
	}
	return l;
}

/* Removes the ended seats of lenders that are no longer in the host list. */
static void drop_former_seats(struct bb_holder *h, struct held_group *e,
			      int64_t now_us)
{
	for (guint i = e->seats->len; i-- > 0;) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us >= s->until_us && s->integrated_us >= s->until_us &&
		    bb_lease_map_find(h->map, s->lender) == BB_NO_ROW)
			g_array_remove_index_fast(e->seats, i);
	}
}

static void mark_group(bool *used, const char *name)
{
	used[bb_lease_group(name, strlen(name))] = true;
}

/*
 * Finds the groups in whose committee this host is. If groups are held by rank,
 * only those of client accounts and services, since no others may be requested.
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
	g_hash_table_iter_init(&iter, h->held_groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_former_seats(h, value, now_us);
}

/* Adds the share held up to now to the integral. */
static void advance_integral(struct held_group *e, int64_t now_us)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);
		int64_t end = MIN(now_us, s->until_us);

		if (end <= s->integrated_us)
			continue;
		e->integral += (uint64_t)(end - s->integrated_us) * s->share;
		s->integrated_us = end;
	}
}

/* Adds the group to the next request to the lender if the lease is due. */
static void queue_request(struct bb_holder *h, struct held_group *e,
			  struct seat *s, int64_t now_us)
{
	struct lender *l;

	if (s->until_us - now_us > RENEW_BEFORE_US ||
	    now_us < s->next_request_us)
		return;
	s->next_request_us = now_us + REQUEST_RETRY_US;
	l = get_lender(h, s->lender);
	g_array_append_val(l->request_groups, e->group);
}

/* Requests the seats of a group for which this host is the preferred holder. */
static void queue_group_requests(struct bb_holder *h, uint32_t group,
				 int64_t now_us)
{
	uint32_t seats = bb_lease_map_seats(h->map);
	bool wanted[2];

	/* Seats whose ranks have the same parity have the same preferred
	 * holder. */
	for (uint32_t rank = 0; rank < 2; rank++) {
		uint32_t host = bb_preferred_holder(
			h->map, group, rank, h->o.alive, h->o.data, now_us);

		wanted[rank] = bb_lease_map_host_id(h->map, host) == h->self;
	}
	for (uint32_t rank = 0; rank < seats; rank++) {
		uint32_t lender = bb_lease_map_seat(h->map, group, rank);
		struct held_group *e;

		if (!wanted[rank % 2])
			continue;
		e = get_held_group(h, group);
		queue_request(h, e,
			      get_seat(e, bb_lease_map_host_id(h->map, lender)),
			      now_us);
	}
}

static void queue_renewals(struct bb_holder *h, struct held_group *e,
			   int64_t now_us)
{
	for (guint i = 0; i < e->seats->len; i++) {
		struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us)
			queue_request(h, e, s, now_us);
	}
}

/* Stands for the lender of all seats of one parity if groups are held
 * by rank. */
static uint64_t parity_id(const struct bb_holder *h, uint32_t parity)
{
	return h->self + parity;
}

/* Takes, renews or ends the seats of one parity, which together have @share. */
static void hold_parity(struct bb_holder *h, uint32_t group, uint32_t parity,
			uint32_t share, int64_t now_us)
{
	uint32_t host = bb_preferred_holder(h->map, group, parity, h->o.alive,
					    h->o.data, now_us);
	bool mine = bb_lease_map_host_id(h->map, host) == h->self;
	struct held_group *e = mine ? get_held_group(h, group) :
				      find_held_group(h, group);
	struct seat *s;

	if (!e)
		return;
	s = get_seat(e, parity_id(h, parity));
	if (!mine) {
		advance_integral(e, now_us);
		s->until_us = MIN(s->until_us, now_us);
		return;
	}
	if (s->until_us <= now_us || share > s->share) {
		if (h->callbacks.before_growth)
			h->callbacks.before_growth(h->callbacks.data, group,
						   now_us);
		advance_integral(e, now_us);
		if (s->until_us <= now_us)
			s->since_us = now_us;
		e->growth_integral = e->integral;
		s->integrated_us = now_us;
	}
	advance_integral(e, now_us);
	s->share = share;
	s->until_us = now_us + RANKED_TERM_US;
}

static void hold_all_ranked(struct bb_holder *h, int64_t now_us)
{
	uint32_t permille = h->o.reachable_permille(h->o.data, now_us);
	uint32_t share = BB_LEASE_SHARE_TOTAL / BB_LEASE_HOLDERS;

	if (permille < RANKED_FULL_SHARE_PERMILLE)
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
	struct pending_request *a =
		&l->pending[l->pending_next++ % PENDING_REQUESTS_MAX];

	a->nonce = ++h->nonce;
	a->sent_us = now_us;
	m.lease_request.incarnation = h->o.incarnation;
	m.lease_request.config_version = h->version;
	m.lease_request.nonce = a->nonce;
	m.lease_request.groups = (uint32_t *)(void *)l->request_groups->data;
	m.lease_request.groups_nr = l->request_groups->len;
	if (host != BB_NO_ROW)
		h->o.send(h->o.data, host, &m);
}

static void send_release(struct bb_holder *h, struct held_group *e,
			 struct seat *s)
{
	struct bb_message m = { .type = BB_MESSAGE_LEASE_RELEASE };
	uint32_t host = bb_lease_map_find(h->map, s->lender);

	s->min_nonce = ++h->nonce;
	m.lease_release.incarnation = h->o.incarnation;
	m.lease_release.nonce = h->nonce;
	m.lease_release.groups = &e->group;
	m.lease_release.groups_nr = 1;
	if (host != BB_NO_ROW)
		h->o.send(h->o.data, host, &m);
}

static void release_unused(struct bb_holder *h, struct held_group *e,
			   int64_t now_us)
{
	if (h->callbacks.in_use &&
	    h->callbacks.in_use(h->callbacks.data, e->group, now_us))
		return;
	advance_integral(e, now_us);
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
		queue_group_requests(
			h, g_array_index(h->own_groups, uint32_t, i), now_us);
	g_hash_table_iter_init(&iter, h->held_groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (h->stopping)
			release_unused(h, value, now_us);
		else
			queue_renewals(h, value, now_us);
	}
	g_hash_table_iter_init(&iter, h->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lender *l = value;

		if (!l->request_groups->len)
			continue;
		send_request(h, l, now_us);
		g_array_set_size(l->request_groups, 0);
	}
}

static const struct pending_request *find_pending(const struct lender *l,
						  uint64_t nonce)
{
	for (uint32_t i = 0; l && i < PENDING_REQUESTS_MAX; i++)
		if (l->pending[i].nonce == nonce)
			return &l->pending[i];
	return NULL;
}

static void apply_lease(struct bb_holder *h, struct held_group *e,
			struct seat *s, const struct bb_lease_grant *grant,
			int64_t until_us, int64_t now_us)
{
	uint32_t share = BB_LEASE_SHARE_TOTAL / grant->seats;
	bool active = now_us < s->until_us;

	if (until_us <= now_us || (active && until_us <= s->until_us))
		return;
	if (!active)
		s->since_us = now_us;
	if (!active || share > s->share) {
		if (h->callbacks.before_growth)
			h->callbacks.before_growth(h->callbacks.data, e->group,
						   now_us);
		advance_integral(e, now_us);
		e->growth_integral = e->integral;
		s->integrated_us = now_us;
	}
	advance_integral(e, now_us);
	s->share = share;
	s->until_us = until_us;
	s->next_request_us = 0;
}

static void receive_lease(struct bb_holder *h, uint64_t lender, uint64_t nonce,
			  int64_t sent_us, const struct bb_lease_grant *grant,
			  int64_t now_us)
{
	struct held_group *e = find_held_group(h, grant->group);
	struct seat *s = e ? find_seat(e, lender) : NULL;
	int64_t term_us = (int64_t)grant->term_ms * BB_US_PER_MS;

	if (!s || nonce < s->min_nonce)
		return;
	if (!grant->term_ms) {
		s->next_request_us =
			MAX(s->next_request_us, now_us + REFUSED_RETRY_US);
		return;
	}
	if (grant->seats < 1 || grant->seats > BB_LEASE_COMMITTEE_MAX)
		return;
	apply_lease(h, e, s, grant,
		    sent_us + bb_margin_shorten(term_us, h->o.drift_ppm),
		    now_us);
}

void bb_holder_receive(struct bb_holder *h, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_lease_grant *r = &m->lease_grant;
	const struct pending_request *a;
	uint64_t lender;

	if (m->type != BB_MESSAGE_LEASE_GRANT || !h->map || h->stopping)
		return;
	lender = bb_lease_map_host_id(h->map, from_host);
	a = find_pending(g_hash_table_lookup(h->lenders, &lender), r->nonce);
	if (!lender || !r->nonce || !a)
		return;
	for (size_t i = 0; i < r->grants_nr; i++)
		receive_lease(h, lender, r->nonce, a->sent_us, &r->grants[i],
			      now_us);
}

/* Number of committee seats that an entry represents: one with leases, all of
 * its parity if groups are held by rank. */
static uint32_t seats_represented(const struct bb_holder *h,
				  const struct seat *s)
{
	uint32_t seats = bb_lease_map_seats(h->map);

	if (!h->o.reachable_permille)
		return 1;
	return s->lender == parity_id(h, 0) ? (seats + 1) / 2 : seats / 2;
}

uint32_t bb_holder_seats(const struct bb_holder *h, uint32_t group,
			 int64_t now_us)
{
	const struct held_group *e = find_held_group(h, group);
	uint32_t nr = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us)
			nr += seats_represented(h, s);
	}
	return nr;
}

uint32_t bb_holder_seats_since(const struct bb_holder *h, uint32_t group,
			       int64_t since_us, int64_t now_us)
{
	const struct held_group *e = find_held_group(h, group);
	uint32_t nr = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (now_us < s->until_us && s->since_us <= since_us)
			nr += seats_represented(h, s);
	}
	return nr;
}

uint32_t bb_holder_share(const struct bb_holder *h, uint32_t group,
			 int64_t until_us)
{
	const struct held_group *e = find_held_group(h, group);
	uint32_t share = 0;

	for (guint i = 0; e && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (until_us < s->until_us)
			share += s->share;
	}
	return MIN(share, (uint32_t)BB_LEASE_SHARE_TOTAL);
}

int64_t bb_holder_valid_until(const struct bb_holder *h, uint32_t group,
			      int64_t min_end_us, int64_t max_end_us)
{
	const struct held_group *e = find_held_group(h, group);
	int64_t end = max_end_us;
	bool any = false;

	for (guint i = 0; e && !h->stopping && i < e->seats->len; i++) {
		const struct seat *s = &g_array_index(e->seats, struct seat, i);

		if (s->until_us <= min_end_us)
			continue;
		any = true;
		/* The share is no longer held at the end itself. */
		end = MIN(end, s->until_us - 1);
	}
	return any ? end : 0;
}

uint64_t bb_holder_share_integral(struct bb_holder *h, uint32_t group,
				  int64_t now_us, uint64_t *growth_integral)
{
	struct held_group *e = find_held_group(h, group);

	*growth_integral = 0;
	if (!e)
		return 0;
	advance_integral(e, now_us);
	*growth_integral = e->growth_integral;
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

	g_hash_table_iter_init(&iter, h->held_groups);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		nr += bb_holder_seats(h, GPOINTER_TO_UINT(key), now_us) > 0;
	return nr;
}
