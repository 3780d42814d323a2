/*
 * Membership: digest requests, quorum and versions.
 *
 * When a request is due, one neighbour is polled. An answer counts only if its
 * nonce matches a pending request, so that evidence is never newer than the
 * time at which that request was sent.
 */
#include "baobabward/member.h"

#include <math.h>
#include <stdlib.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "libmember/member_private.h"

/* Shortest time between two reports of the same newer version. */
#define REPORT_INTERVAL_US BB_US_PER_S
/*
 * Evidence is low when the quorum ends within the freshness bound divided by
 * LOW_EVIDENCE_FRESHNESS_DIVISOR. Requests then ask for all seats, and up to
 * FAST_REQUESTS_MAX of them are sent at intervals divided by
 * FAST_INTERVAL_DIVISOR; each request at the ordinary interval restores one.
 * After that, intervals are divided by LOW_EVIDENCE_INTERVAL_DIVISOR: at the
 * ordinary rate, a fleet that had fallen behind under heavy loss did not regain
 * its quorum.
 */
#define FAST_REQUESTS_MAX 12
#define FAST_INTERVAL_DIVISOR 4
#define LOW_EVIDENCE_INTERVAL_DIVISOR 2
#define LOW_EVIDENCE_FRESHNESS_DIVISOR 4
/*
 * A node that hears of a newer version stays current without it for at most the
 * freshness bound divided by this. A version is heard of within 5.3 s at
 * 30% loss (bench_member), so that no node serves with an older one after about
 * 10 s.
 */
#define OUTDATED_FRESHNESS_DIVISOR 2

/*
 * Evidence spreads like an epidemic, which takes ln N intervals to reach half
 * of N nodes; after x more, a share of (1 + x) exp(-x) of them still lacks it.
 * The freshness bound leaves room for this many more intervals, which includes
 * a fraction of one because ages are rounded up at each hop. The shortest
 * interval is the time of several round trips between regions.
 */
#define SPREAD_INTERVALS 9.0
#define INTERVAL_MIN_US (100 * BB_US_PER_MS)

size_t bb_member_quorum_size(size_t seats_nr)
{
	return (seats_nr * BB_QUORUM_PERCENT + 99) / 100;
}

struct bb_member *bb_member_new(const struct bb_member_options *o,
				struct bb_error *err)
{
	struct bb_member *m;

	if (!o->config || !o->name || !o->rand || !o->send ||
	    o->config->hosts_nr > BB_LIST_MAX) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "cannot create a membership: no configuration, "
			     "name, random numbers or transport, or too many "
			     "hosts");
		return NULL;
	}
	m = g_new0(struct bb_member, 1);
	m->o = *o;
	if (!m->o.interval_us)
		m->o.interval_us = BB_MEMBER_DEFAULT_INTERVAL_US;
	if (!m->o.freshness_us)
		m->o.freshness_us = BB_MEMBER_DEFAULT_FRESHNESS_US;
	if (!m->o.neighbours)
		m->o.neighbours = BB_MEMBER_DEFAULT_NEIGHBOURS;
	if (!m->o.digest_entries)
		m->o.digest_entries = BB_MEMBER_DEFAULT_DIGEST_ENTRIES;
	m->name = g_strdup(o->name);
	m->neighbours = g_new0(struct bb_neighbour, m->o.neighbours);
	m->highest_version = o->config->version;
	m->outdated_until_us = BB_MEMBER_NEVER_US;
	m->next_request_us = BB_MEMBER_NEVER_US;
	m->next_rotation_us = BB_MEMBER_NEVER_US;
	m->read_until_us = BB_MEMBER_NEVER_US;
	m->fast_requests_left = FAST_REQUESTS_MAX;
	m->start_us = INT64_MAX;
	bb_member_seats_init(m, o->config);
	return m;
}

void bb_member_delete(struct bb_member *m)
{
	if (!m)
		return;
	bb_member_seats_finish(m);
	for (size_t i = 0; i < BB_MEMBER_FORMER_MAX; i++)
		g_free(m->former[i].map);
	g_free(m->neighbours);
	g_free(m->name);
	g_free(m);
}

int bb_member_update(struct bb_member *m, const struct bb_config *config,
		     int64_t now_us, struct bb_error *err)
{
	if (config->version < m->o.config->version)
		return bb_error_set(err, BB_ERROR_STALE,
				    "configuration version %llu is in force",
				    (unsigned long long)m->o.config->version);
	if (config->hosts_nr > BB_LIST_MAX)
		return bb_error_set(err, BB_ERROR_INVALID, "too many hosts");
	if (config->seats_hash != m->o.config->seats_hash)
		bb_member_seats_remap(m, config);
	m->o.config = config;
	m->highest_version = MAX(m->highest_version, config->version);
	bb_member_check_start(m, now_us);
	/* New seats have no evidence yet: poll without delay. */
	m->next_request_us = MIN(m->next_request_us, now_us);
	return 0;
}

/* Whether there is no quorum, or it ends soon without new evidence. */
static bool low_evidence(struct bb_member *m, int64_t now_us)
{
	return !bb_member_has_quorum(
		m, now_us + m->o.freshness_us / LOW_EVIDENCE_FRESHNESS_DIVISOR);
}

static void send_request(struct bb_member *m, struct bb_neighbour *n,
			 int64_t now_us)
{
	struct bb_pending *p = &m->pending[m->pending_next];
	struct bb_message msg = { .type = BB_MESSAGE_DIGEST_REQUEST };

	m->pending_next = (m->pending_next + 1) % BB_MEMBER_PENDING_MAX;
	/* Random: an answer to an earlier process must not match. */
	do {
		p->nonce = (uint64_t)g_rand_int(m->o.rand) << 32 |
			   g_rand_int(m->o.rand);
	} while (!p->nonce);
	p->host = n->host;
	p->sent_us = now_us;
	n->misses++;
	msg.digest_request = (struct bb_message_digest_request){
		.incarnation = m->o.incarnation,
		.config_version = m->in_force ? m->o.config->version : 0,
		.nonce = p->nonce,
		.max_entries = low_evidence(m, now_us) ? BB_LIST_MAX :
							 m->o.digest_entries,
	};
	m->o.send(m->o.data, p->host, &msg);
}

/*
 * The configured interval, or a shorter one if evidence would otherwise exceed
 * the freshness bound at most nodes.
 */
static int64_t interval_us(const struct bb_member *m)
{
	double spread = log(MAX(m->seats_nr, 1)) + SPREAD_INTERVALS;
	int64_t max_us = (int64_t)((double)m->o.freshness_us / spread);

	return MIN(m->o.interval_us, MAX(max_us, INTERVAL_MIN_US));
}

int64_t bb_member_tick(struct bb_member *m, int64_t now_us)
{
	struct bb_neighbour *n;
	int64_t interval = interval_us(m);

	bb_member_check_start(m, now_us);
	if (now_us < m->next_request_us)
		return m->next_request_us;
	n = bb_member_next_neighbour(m, now_us);
	if (n)
		send_request(m, n, now_us);
	if (!low_evidence(m, now_us)) {
		m->fast_requests_left =
			MIN(m->fast_requests_left + 1, FAST_REQUESTS_MAX);
	} else if (m->fast_requests_left) {
		m->fast_requests_left--;
		interval /= FAST_INTERVAL_DIVISOR;
	} else {
		interval /= LOW_EVIDENCE_INTERVAL_DIVISOR;
	}
	/* Jitter: nodes that started together must not poll in step. */
	m->next_request_us =
		now_us + (int64_t)((double)interval *
				   g_rand_double_range(m->o.rand, 0.8, 1.2));
	return m->next_request_us;
}

void bb_member_raise_highest_version(struct bb_member *m, uint64_t version,
				     int64_t now_us)
{
	if (version <= m->highest_version)
		return;
	bb_log_info(BB_LOG_MEMBER,
		    "configuration version %llu exists, version %llu is %s",
		    (unsigned long long)version,
		    (unsigned long long)m->o.config->version,
		    m->in_force ? "in force" : "the candidate");
	if (m->highest_version <= m->o.config->version)
		m->outdated_until_us =
			MIN(bb_member_current_until_us(m),
			    now_us + m->o.freshness_us /
					     OUTDATED_FRESHNESS_DIVISOR);
	m->highest_version = version;
}

void bb_member_note_version(struct bb_member *m, uint32_t host,
			    uint64_t version, int64_t now_us)
{
	if (version <= m->o.config->version)
		return;
	bb_member_raise_highest_version(m, version, now_us);
	bb_member_report_newer_version(m, host, version, now_us);
}

void bb_member_report_newer_version(struct bb_member *m, uint32_t host,
				    uint64_t version, int64_t now_us)
{
	if (host == BB_NO_ROW || !m->o.newer_version ||
	    version < m->reported_version ||
	    (version == m->reported_version &&
	     now_us - m->reported_us < REPORT_INTERVAL_US))
		return;
	m->reported_version = version;
	m->reported_us = now_us;
	m->o.newer_version(m->o.data, host, version);
}

static void receive_digest(struct bb_member *m, uint32_t sender,
			   const struct bb_message_digest *d, int64_t now_us)
{
	if (!d->nonce) {
		if (d->stopping && sender < m->seats_nr)
			m->seats[sender].last_stopping_us = now_us;
		return;
	}
	for (size_t i = 0; i < BB_MEMBER_PENDING_MAX; i++) {
		struct bb_pending *p = &m->pending[i];

		if (p->nonce != d->nonce ||
		    (sender != BB_NO_ROW && sender != p->host))
			continue;
		p->nonce = 0;
		for (size_t k = 0; k < m->neighbours_nr; k++) {
			if (m->neighbours[k].host == p->host)
				m->neighbours[k].misses = 0;
		}
		bb_member_merge_digest(m, p->host, d, p->sent_us, now_us);
		bb_member_check_start(m, now_us);
		return;
	}
}

const struct bb_message *bb_member_receive(struct bb_member *m, uint32_t sender,
					   const struct bb_message *msg,
					   int64_t now_us)
{
	const struct bb_message_digest_request *r = &msg->digest_request;

	if (sender >= m->seats_nr)
		sender = BB_NO_ROW;
	switch (msg->type) {
	case BB_MESSAGE_DIGEST:
		receive_digest(m, sender, &msg->digest, now_us);
		return NULL;
	case BB_MESSAGE_DIGEST_REQUEST:
		bb_member_note_version(m, sender, r->config_version, now_us);
		bb_member_build_digest(m, r->nonce, r->max_entries, now_us);
		return &m->reply;
	default:
		return NULL;
	}
}

void bb_member_note_service_read(struct bb_member *m, uint64_t version,
				 int64_t asked_us)
{
	bb_member_raise_highest_version(m, version, asked_us);
	/* The answer of a stale replica says nothing about newer versions. */
	if (version >= m->o.config->version)
		m->read_until_us =
			MAX(m->read_until_us, asked_us + m->o.freshness_us);
}

void bb_member_stop(struct bb_member *m, int64_t now_us)
{
	/*
	 * A change of the seat list since the last request left no neighbours.
	 */
	bb_member_fill_neighbours(m, now_us);
	m->stopping = true;
	bb_member_build_digest(m, 0, 0, 0);
	for (size_t i = 0; i < m->neighbours_nr; i++)
		m->o.send(m->o.data, m->neighbours[i].host, &m->reply);
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* Time until which the freshest evidence of a quorum counts. */
static int64_t quorum_until(struct bb_member *m)
{
	size_t others = bb_member_quorum_size(m->seats_nr), nr = 0;

	if (m->quorum_valid)
		return m->quorum_until_us;
	m->quorum_valid = true;
	m->quorum_until_us = BB_MEMBER_NEVER_US;
	if (!m->in_force)
		return m->quorum_until_us;
	if (m->self != BB_NO_ROW)
		others--;
	for (size_t i = 0; i < m->seats_nr; i++) {
		if (i != m->self)
			m->sorted_us[nr++] = m->seats[i].last_serving_us;
	}
	qsort(m->sorted_us, nr, sizeof(*m->sorted_us), compare_descending);
	if (!m->seats_nr)
		return m->quorum_until_us;
	if (!others)
		m->quorum_until_us = INT64_MAX;
	else if (others <= nr && m->sorted_us[others - 1] > BB_MEMBER_NEVER_US)
		m->quorum_until_us =
			m->sorted_us[others - 1] + m->o.freshness_us;
	return m->quorum_until_us;
}

bool bb_member_has_quorum(struct bb_member *m, int64_t now_us)
{
	return now_us <= quorum_until(m);
}

int64_t bb_member_current_until_us(struct bb_member *m)
{
	if (!m->in_force)
		return INT64_MIN;
	if (m->highest_version > m->o.config->version)
		return m->outdated_until_us;
	return MAX(quorum_until(m), m->read_until_us);
}

bool bb_member_current(struct bb_member *m, int64_t now_us)
{
	return now_us <= bb_member_current_until_us(m);
}

bool bb_member_quorum_accepted(const struct bb_member *m, uint64_t version)
{
	size_t accepted = 0;

	for (size_t i = 0; i < m->seats_nr; i++)
		accepted += bb_member_version(m, (uint32_t)i) >= version;
	return m->seats_nr && accepted >= bb_member_quorum_size(m->seats_nr);
}

int64_t bb_member_age_us(const struct bb_member *m, uint32_t seat,
			 int64_t now_us)
{
	if (seat == m->self)
		return 0;
	if (seat >= m->seats_nr ||
	    m->seats[seat].last_ran_us == BB_MEMBER_NEVER_US)
		return INT64_MAX;
	return now_us - m->seats[seat].last_ran_us;
}

uint64_t bb_member_version(const struct bb_member *m, uint32_t seat)
{
	if (seat == m->self)
		return m->in_force ? m->o.config->version : 0;
	return seat < m->seats_nr ? m->seats[seat].version : 0;
}

uint64_t bb_member_highest_version(const struct bb_member *m)
{
	return m->highest_version;
}

bool bb_member_stopping(const struct bb_member *m, uint32_t seat)
{
	if (seat == m->self)
		return m->stopping;
	return seat < m->seats_nr &&
	       m->seats[seat].last_stopping_us > BB_MEMBER_NEVER_US &&
	       m->seats[seat].last_ran_us <= m->seats[seat].last_stopping_us +
						     BB_MEMBER_STOP_MARGIN_US;
}

bool bb_member_alive(const struct bb_member *m, uint32_t seat, int64_t now_us)
{
	if (seat != m->self && seat < m->seats_nr &&
	    bb_member_is_starting(&m->seats[seat]))
		return false;
	return bb_member_age_us(m, seat, now_us) <= m->o.freshness_us &&
	       !bb_member_stopping(m, seat);
}

size_t bb_member_memory(const struct bb_member *m)
{
	size_t per_seat = sizeof(*m->seats) + sizeof(*m->sorted_us) +
			  sizeof(*m->buffer.age_units) + 1;
	size_t bytes = (m->seats_nr + 7) / 8;
	size_t sum = sizeof(*m) + per_seat * (m->seats_nr + 1) +
		     2 * bytes * BB_DIGEST_SECTIONS_MAX +
		     m->o.neighbours * sizeof(*m->neighbours);

	for (size_t i = 0; i < BB_MEMBER_FORMER_MAX; i++)
		sum += m->former[i].nr * sizeof(*m->former[i].map);
	return sum;
}
