/*
 * Lends this host's share of each group in whose committee it has a seat. A
 * share has at most one borrower at a time, also across restarts and changes of
 * the host list.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "baobabward/log.h"
#include "margin.h"
#include "preferred_holder.h"

/* Time for which a host counts as waiting for a lease after it asked; holders
 * ask again within 2 s. */
#define CONTENDER_US (5 * BB_US_PER_S)
/* Greatest age at which a refused request is still granted. Holders ask again
 * within 2 s, and the term of the lease counts from when the request was sent.
 */
#define WAITING_REQUEST_MAX_US (2500 * BB_US_PER_MS)

/*
 * Refused request of the preferred borrower, to be granted when the lease
 * becomes free.
 * @borrower: identifier of the host, 0 if there is no request
 * @version: configuration version of the borrower
 */
struct waiting_request {
	uint64_t borrower;
	uint64_t incarnation;
	uint64_t nonce;
	uint64_t version;
	int64_t received_us;
};

/*
 * This host's seat in the committee of one group.
 * @member: this host has a seat
 * @may_lend: false while a seat that joined the committee waits
 * @rank: of the seat in the committee
 * @seats: the lease is 1/@seats of the group
 * @wait_version: the seat starts to lend, or lends a larger share, when a
 *                quorum has accepted this version and the wait has passed; 0 if
 *                not waiting
 * @quorum_us: time at which the quorum was seen, 0 before
 * @borrower: identifier of the host that borrowed last
 * @incarnation: process of the borrower
 * @nonce: of the last request or release of the borrower
 * @until_us: end of the lease
 * @contender: preferred borrower that asked last, at @contender_us
 */
struct lender_group {
	bool member;
	bool may_lend;
	uint32_t rank;
	uint32_t seats;
	uint64_t wait_version;
	int64_t quorum_us;
	uint64_t borrower;
	uint64_t incarnation;
	uint64_t nonce;
	int64_t until_us;
	uint64_t contender;
	int64_t contender_us;
	struct waiting_request waiting;
};

/*
 * State of one lender.
 * @self: identifier of this host
 * @version: version of the configuration, applied at @accepted_us
 */
struct bb_lender {
	struct bb_lender_options o;
	uint64_t self;
	struct bb_lease_map *map;
	uint64_t version;
	int64_t accepted_us;
	bool automation;
	struct lender_group groups[BB_LEASE_GROUPS];
};

struct bb_lender *bb_lender_new(const struct bb_lender_options *o)
{
	struct bb_lender *l = g_new0(struct bb_lender, 1);

	l->o = *o;
	if (!l->o.freshness_us)
		l->o.freshness_us = BB_LEASE_FRESHNESS_US;
	if (!l->o.term_us)
		l->o.term_us = BB_LEASE_TERM_US;
	l->self = XXH3_64bits(o->self, strlen(o->self));
	l->o.self = NULL;
	return l;
}

void bb_lender_delete(struct bb_lender *l)
{
	if (!l)
		return;
	bb_lease_map_unref(l->map);
	g_free(l);
}

/*
 * Whether every version of the host list between the last one and @c is known.
 * If a lender skipped a version, another host may have had its seat in that
 * version, and may still lend the share.
 */
static bool is_continuous(const struct bb_lender *l, const struct bb_config *c,
			  const struct bb_lease_map *m)
{
	if (!l->map)
		return false;
	if (c->version <= l->version + 1)
		return true;
	/* If the hosts differ all the same, the fields were derived from an old
	 * copy of the list. */
	if (c->hosts_version && c->hosts_version <= l->version)
		return bb_lease_map_same_hosts(l->map, m);
	return c->hosts_version_before && c->hosts_version_before <= l->version;
}

static void start_wait(struct lender_group *g, uint64_t version)
{
	g->wait_version = version;
	g->quorum_us = 0;
}

static void join_group(struct lender_group *g, const struct bb_lender *l,
		       uint32_t rank, bool continuous)
{
	uint32_t seats = bb_lease_map_seats(l->map);

	g->rank = rank;
	if (!g->member || !continuous) {
		g->member = true;
		g->may_lend = false;
		g->seats = seats;
		start_wait(g, l->version);
		return;
	}
	if (seats > g->seats)
		g->seats = seats;
	else if (seats < g->seats)
		start_wait(g, l->version);
}

void bb_lender_set_config(struct bb_lender *l, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us)
{
	bool continuous = is_continuous(l, c, m);
	uint32_t seats = bb_lease_map_seats(m);

	if (l->map && !continuous)
		bb_log_info(BB_LOG_LEASE,
			    "configuration %" PRIu64 " skips host lists after "
			    "%" PRIu64 ", lending pauses until a quorum has "
			    "accepted it",
			    c->version, l->version);
	bb_lease_map_ref(m);
	bb_lease_map_unref(l->map);
	l->map = m;
	if (c->version != l->version)
		l->accepted_us = now_us;
	l->version = c->version;
	l->automation = c->automation;
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++) {
		uint32_t rank = 0;

		while (rank < seats &&
		       bb_lease_map_host_id(m, bb_lease_map_seat(m, i, rank)) !=
			       l->self)
			rank++;
		if (rank < seats)
			join_group(&l->groups[i], l, rank, continuous);
		else
			l->groups[i].member = false;
	}
}

/*
 * Ends the wait of a seat. Once a quorum has accepted the version, a former
 * owner of the seat that does not know the version stops lending within the
 * freshness bound, and its leases end one term later.
 */
static void update_wait(struct bb_lender *l, struct lender_group *g,
			int64_t now_us)
{
	int64_t wait_us = bb_margin_extend(l->o.freshness_us + l->o.term_us,
					   l->o.drift_ppm);

	if (!g->wait_version)
		return;
	if (!g->quorum_us) {
		if (!l->o.quorum_accepted(l->o.data, g->wait_version))
			return;
		/* 0 means that the quorum was not seen yet. */
		g->quorum_us = now_us ? now_us : 1;
	}
	if (now_us - g->quorum_us < wait_us)
		return;
	g->wait_version = 0;
	g->may_lend = true;
	g->seats = bb_lease_map_seats(l->map);
}

static uint64_t preferred_borrower(const struct bb_lender *l, uint32_t group,
				   int64_t now_us)
{
	uint32_t host = bb_preferred_holder(l->map, group,
					    l->groups[group].rank, l->o.alive,
					    l->o.data, now_us);

	return bb_lease_map_host_id(l->map, host);
}

static bool is_contended_by(const struct lender_group *g, uint64_t host,
			    int64_t now_us)
{
	return g->contender == host && now_us - g->contender_us < CONTENDER_US;
}

/* Grants or refuses one group of a request; true if the lease is granted. */
static bool try_lend(struct bb_lender *l, uint32_t group, uint64_t borrower,
		     const struct bb_message_lease_request *r, int64_t now_us)
{
	struct lender_group *g = &l->groups[group];
	bool same_borrower = g->borrower == borrower &&
			     g->incarnation == r->incarnation;
	bool active = now_us < g->until_us;
	uint64_t preferred;

	update_wait(l, g, now_us);
	if (!g->member || !g->may_lend ||
	    (same_borrower && r->nonce <= g->nonce))
		return false;
	preferred = preferred_borrower(l, group, now_us);
	if (borrower == preferred) {
		g->contender = borrower;
		g->contender_us = now_us;
	}
	if (active && !same_borrower)
		return false;
	if (borrower != preferred && is_contended_by(g, preferred, now_us) &&
	    (!active || l->automation))
		return false;
	g->borrower = borrower;
	g->incarnation = r->incarnation;
	g->nonce = r->nonce;
	g->until_us = now_us + l->o.term_us;
	return true;
}

/* Whether a borrower's configuration is older than freshness permits. */
static bool is_outdated(const struct bb_lender *l, uint64_t version,
			int64_t now_us)
{
	return version < l->version &&
	       now_us - l->accepted_us > l->o.freshness_us;
}

/* Records a refused request of the preferred borrower, to be granted when the
 * lease becomes free. */
static void record_waiting(struct bb_lender *l, uint32_t group,
			   uint64_t borrower,
			   const struct bb_message_lease_request *r,
			   int64_t now_us)
{
	struct lender_group *g = &l->groups[group];

	if (!g->member || borrower != preferred_borrower(l, group, now_us))
		return;
	g->waiting = (struct waiting_request){ borrower, r->incarnation,
					       r->nonce, r->config_version,
					       now_us };
}

/*
 * Decides on a refused request again, as if it had been delayed by the network
 * until now. That is safe because the borrower counts the lease from when it
 * sent the request, and a later request or release of the group has a higher
 * nonce.
 */
static bool try_lend_waiting(struct bb_lender *l, uint32_t group,
			     int64_t now_us)
{
	struct lender_group *g = &l->groups[group];
	const struct waiting_request *w = &g->waiting;
	struct bb_message_lease_request r = { .incarnation = w->incarnation,
					      .nonce = w->nonce };

	if (!w->borrower)
		return false;
	if (!g->member || now_us - w->received_us > WAITING_REQUEST_MAX_US ||
	    is_outdated(l, w->version, now_us)) {
		g->waiting.borrower = 0;
		return false;
	}
	return w->borrower == preferred_borrower(l, group, now_us) &&
	       try_lend(l, group, w->borrower, &r, now_us);
}

/* Sends one answer with all grants whose requests came in one message. */
static void send_waiting(struct bb_lender *l, const bool *granted,
			 const struct waiting_request *w)
{
	struct bb_lease_grant grants[BB_LEASE_GROUPS] = { 0 };
	struct bb_message m = { .type = BB_MESSAGE_LEASE_GRANT };
	uint32_t host = bb_lease_map_find(l->map, w->borrower);
	struct waiting_request first = *w;
	size_t nr = 0;

	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++) {
		struct lender_group *g = &l->groups[i];

		if (!granted[i] || g->waiting.borrower != first.borrower ||
		    g->waiting.incarnation != first.incarnation ||
		    g->waiting.nonce != first.nonce)
			continue;
		g->waiting.borrower = 0;
		grants[nr].group = i;
		grants[nr].seats = g->seats;
		grants[nr++].term_ms = l->o.term_us / BB_US_PER_MS;
	}
	m.lease_grant.incarnation = l->o.incarnation;
	m.lease_grant.config_version = l->version;
	m.lease_grant.nonce = first.nonce;
	m.lease_grant.grants = grants;
	m.lease_grant.grants_nr = nr;
	if (host != BB_NO_ROW)
		l->o.send(l->o.data, host, &m);
}

/*
 * Grants waiting requests whose leases became free. Otherwise nobody would hold
 * a lease that becomes free, after a start or when its borrower stops, until
 * the next request, up to 2 s later.
 */
static void answer_waiting(struct bb_lender *l, int64_t now_us)
{
	bool granted[BB_LEASE_GROUPS];

	if (!l->map || !l->o.may_lend(l->o.data, now_us))
		return;
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		granted[i] = try_lend_waiting(l, i, now_us);
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		if (granted[i] && l->groups[i].waiting.borrower)
			send_waiting(l, granted, &l->groups[i].waiting);
}

void bb_lender_tick(struct bb_lender *l, int64_t now_us)
{
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		if (l->groups[i].member)
			update_wait(l, &l->groups[i], now_us);
	answer_waiting(l, now_us);
}

static void receive_request(struct bb_lender *l, uint32_t from_host,
			    const struct bb_message_lease_request *r,
			    int64_t now_us)
{
	uint64_t borrower = bb_lease_map_host_id(l->map, from_host);
	bool can_lend = borrower && l->o.may_lend(l->o.data, now_us) &&
			!is_outdated(l, r->config_version, now_us);
	struct bb_lease_grant *grants =
		g_new0(struct bb_lease_grant, r->groups_nr);
	struct bb_message m = { .type = BB_MESSAGE_LEASE_GRANT };

	m.lease_grant.incarnation = l->o.incarnation;
	m.lease_grant.config_version = l->version;
	m.lease_grant.nonce = r->nonce;
	m.lease_grant.grants = grants;
	m.lease_grant.grants_nr = r->groups_nr;
	for (size_t i = 0; i < r->groups_nr; i++) {
		const struct lender_group *g;

		grants[i].group = r->groups[i];
		grants[i].seats = 1;
		if (r->groups[i] >= BB_LEASE_GROUPS)
			continue;
		g = &l->groups[r->groups[i]];
		grants[i].continuous = can_lend && g->borrower == borrower &&
				       g->incarnation == r->incarnation;
		if (!can_lend ||
		    !try_lend(l, r->groups[i], borrower, r, now_us)) {
			record_waiting(l, r->groups[i], borrower, r, now_us);
			continue;
		}
		grants[i].seats = g->seats;
		grants[i].term_ms = l->o.term_us / BB_US_PER_MS;
	}
	if (borrower)
		l->o.send(l->o.data, from_host, &m);
	g_free(grants);
}

static void receive_release(struct bb_lender *l, uint32_t from_host,
			    const struct bb_message_lease_release *r)
{
	uint64_t borrower = bb_lease_map_host_id(l->map, from_host);

	for (size_t i = 0; i < r->groups_nr; i++) {
		struct lender_group *g;

		if (r->groups[i] >= BB_LEASE_GROUPS)
			continue;
		g = &l->groups[r->groups[i]];
		if (g->waiting.borrower == borrower &&
		    g->waiting.incarnation == r->incarnation)
			g->waiting.borrower = 0;
		/* A repeated release must not end a lease granted since. */
		if (g->borrower != borrower ||
		    g->incarnation != r->incarnation || r->nonce <= g->nonce)
			continue;
		g->nonce = r->nonce;
		g->until_us = INT64_MIN;
	}
}

void bb_lender_receive(struct bb_lender *l, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us)
{
	if (!l->map)
		return;
	if (m->type == BB_MESSAGE_LEASE_REQUEST)
		receive_request(l, from_host, &m->lease_request, now_us);
	else if (m->type == BB_MESSAGE_LEASE_RELEASE)
		receive_release(l, from_host, &m->lease_release);
}

size_t bb_lender_active_leases(const struct bb_lender *l, int64_t now_us)
{
	size_t nr = 0;

	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		nr += now_us < l->groups[i].until_us;
	return nr;
}
