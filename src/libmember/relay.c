#include "baobabward/relay.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libmember/registry_copy.h"

/* Parts of the time within which a change must be known, in percent; relay.h
 * says how they add up. */
#define WATCH_PERCENT 30
#define WAIT_PERCENT 25
#define ANSWER_SLACK_PERCENT 15
/* The same for an answer at once: several round trips. Where the node's own link
 * is slow, neither peers nor the registry answer, and the wait delays the next
 * read of the registry. */
#define ANY_SLACK_PERCENT 5
#define EVIDENCE_PERCENT 60
#define INTERVAL_PERCENT 40
/* The same while peers depend on this node, and while it starts: many items may
 * change then, as when a fleet starts, and it is not yet bound by the time. */
#define INTERVAL_ASKED_PERCENT 20
#define INTERVAL_START_PERCENT 75
#define START_US (3 * BB_US_PER_S)
/* Time for which a node that was asked by a peer keeps its evidence recent. */
#define ASKED_US (10 * BB_US_PER_S)
/* Shortest and longest time for which a peer that did not answer as it should
 * is not asked; doubled with each consecutive failure. */
#define SHUN_MIN_US (1 * BB_US_PER_S)
#define SHUN_MAX_US (30 * BB_US_PER_S)
/* Shortest time between two answers to one peer, so that a peer that asks
 * without end costs little. */
#define ANSWER_INTERVAL_MIN_US (50 * BB_US_PER_MS)
/* Largest sum of keys and values in one answer. A peer that lacks more reads
 * the registry itself. */
#define ANSWER_MAX_BYTES ((size_t)2 * BB_REGISTRY_VALUE_MAX)
/* Interval at which old removals are dropped. */
#define EXPIRY_INTERVAL_US (5 * BB_US_PER_S)

/**
 * struct waiting - a peer that waits for changes.
 * @asked: whether it waits
 * @nonce: of its request
 * @after: of its request
 * @due_us: time at which it is answered at the latest
 * @answered_us: time of the last answer to it
 */
struct waiting {
	bool asked;
	uint64_t nonce;
	uint64_t after;
	int64_t due_us;
	int64_t answered_us;
};

/**
 * struct shunned - a peer that did not answer as it should.
 * @until_us: it is not asked until then
 * @delay_us: length of the last such time
 */
struct shunned {
	int64_t until_us;
	int64_t delay_us;
};

/**
 * struct candidate - a host of this node's group.
 * @rank: hash of its name, by which the hosts are ordered
 * @host: index of the host
 */
struct candidate {
	uint64_t rank;
	uint32_t host;
};

/**
 * struct bb_relay - see relay.h.
 * @o: options; @o.self is owned
 * @reader: who reads the registry here
 * @config: hosts of the fleet, NULL before the first
 * @group: hosts of which some read, by rank, this one included
 * @group_nr: number of @group
 * @self_rank: rank of this node
 * @copy: what is known of the registry
 * @era: era of the registry, -1 if unknown
 * @revision: all changes up to it are in @copy, 0 before the first list
 * @confirmed_us: time at which the registry was certainly at @revision
 * @first_confirmed_us: first time of that kind, 0 before it
 * @lost: the registry did not answer this node's last read
 * @waiting: by host index, as many as @config has hosts
 * @waiting_nr: number of hosts that wait
 * @asked_us: time of the last request of a peer, 0 for none
 * @shunned: struct shunned by host name
 * @upstream: name of the host asked last, empty if this node reads by itself
 * @read_nonce: nonce of the request to @upstream, 0 while there is none
 * @read_after: revision of that request
 * @read_until_us: time at which it is given up
 * @read_any: it is one of bb_relay_ask_any()
 * @nonce: last nonce
 * @expired_us: time of the last bb_registry_copy_expire()
 */
struct bb_relay {
	struct bb_relay_options o;
	struct bb_relay_reader reader;
	const struct bb_config *config;
	struct candidate *group;
	size_t group_nr;
	uint64_t self_rank;
	struct bb_registry_copy *copy;
	int64_t era;
	uint64_t revision;
	int64_t confirmed_us;
	int64_t first_confirmed_us;
	bool lost;
	struct waiting *waiting;
	size_t waiting_nr;
	int64_t asked_us;
	GHashTable *shunned;
	char upstream[BB_NAME_MAX + 1];
	uint64_t read_nonce;
	uint64_t read_after;
	int64_t read_until_us;
	bool read_any;
	uint64_t nonce;
	int64_t expired_us;
};

static int64_t part_us(const struct bb_relay *r, unsigned int percent)
{
	return r->o.apply_us * percent / 100;
}

static uint64_t rank_of(const char *host)
{
	return XXH3_64bits(host, strlen(host));
}

struct bb_relay *bb_relay_new(const struct bb_relay_options *o)
{
	struct bb_relay *r = g_new0(struct bb_relay, 1);

	r->o = *o;
	r->o.self = g_strdup(o->self);
	r->self_rank = rank_of(o->self);
	r->copy = bb_registry_copy_new();
	r->era = -1;
	r->shunned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void bb_relay_delete(struct bb_relay *r)
{
	if (!r)
		return;
	bb_registry_copy_delete(r->copy);
	g_hash_table_destroy(r->shunned);
	g_free(r->group);
	g_free(r->waiting);
	g_free((char *)r->o.self);
	g_free(r);
}

void bb_relay_set_reader(struct bb_relay *r,
			 const struct bb_relay_reader *reader)
{
	bb_relay_cancel(r);
	r->reader = reader ? *reader : (struct bb_relay_reader){ 0 };
}

/* Answers to peers. */

static bool is_recent(const struct bb_relay *r, int64_t now_us)
{
	return r->revision && !r->lost &&
	       now_us - r->confirmed_us <= part_us(r, EVIDENCE_PERCENT);
}

static void send_answer(struct bb_relay *r, uint32_t host,
			struct bb_message_registry_changes *answer,
			int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_REGISTRY_CHANGES };
	struct waiting *w = &r->waiting[host];
	int64_t age_us = MAX(now_us - r->confirmed_us, 0);

	answer->nonce = w->nonce;
	answer->era = r->era;
	answer->revision = r->revision;
	answer->age_ms = (uint32_t)MIN(
		(age_us + BB_US_PER_MS - 1) / BB_US_PER_MS, UINT32_MAX);
	m.registry_changes = *answer;
	r->o.send(r->o.data, host, &m);
	bb_metrics_add(BB_METRIC_REGISTRY_ANSWERS, 1);
	r->waiting_nr -= w->asked;
	w->asked = false;
	w->answered_us = now_us;
}

static void refuse(struct bb_relay *r, uint32_t host,
		   enum bb_registry_answer reason, int64_t now_us)
{
	struct bb_message_registry_changes answer = { .answer = reason };

	send_answer(r, host, &answer, now_us);
}

static void answer_changes(struct bb_relay *r, uint32_t host, int64_t now_us)
{
	struct bb_message_registry_changes answer = { 0 };

	answer.items = g_new(struct bb_registry_item, BB_LIST_MAX);
	if (!bb_registry_copy_since(r->copy, r->waiting[host].after,
				    answer.items, BB_LIST_MAX, ANSWER_MAX_BYTES,
				    &answer.items_nr)) {
		answer.answer = BB_REGISTRY_HISTORY;
		answer.items_nr = 0;
	}
	send_answer(r, host, &answer, now_us);
	g_free(answer.items);
}

/* Answers a waiting peer if there are changes for it or its time is over. */
static void answer_if_due(struct bb_relay *r, uint32_t host, int64_t now_us)
{
	struct waiting *w = &r->waiting[host];
	bool due = now_us >= w->due_us;

	if (!w->asked || now_us - w->answered_us < ANSWER_INTERVAL_MIN_US)
		return;
	if (!is_recent(r, now_us)) {
		/* A peer that asks during an outage here may come out of one. */
		if (due)
			refuse(r, host, BB_REGISTRY_STALE, now_us);
	} else if (r->revision > w->after) {
		answer_changes(r, host, now_us);
	} else if (due && r->revision < w->after) {
		refuse(r, host, BB_REGISTRY_BEHIND, now_us);
	} else if (due) {
		struct bb_message_registry_changes unchanged = { 0 };

		send_answer(r, host, &unchanged, now_us);
	}
}

static void answer_all_due(struct bb_relay *r, int64_t now_us)
{
	for (uint32_t i = 0; r->waiting_nr && i < r->config->hosts_nr; i++)
		answer_if_due(r, i, now_us);
}

static void refuse_all(struct bb_relay *r, enum bb_registry_answer reason,
		       int64_t now_us)
{
	for (uint32_t i = 0; r->waiting_nr && i < r->config->hosts_nr; i++)
		if (r->waiting[i].asked)
			refuse(r, i, reason, now_us);
}

static void receive_read(struct bb_relay *r, uint32_t host,
			 const struct bb_message_registry_read *m,
			 int64_t now_us)
{
	struct waiting *w = &r->waiting[host];
	int64_t wait_us =
		MIN(m->wait_ms * BB_US_PER_MS, part_us(r, WAIT_PERCENT));
	bool first = !bb_relay_watch_us(r, now_us);
	/* The registry answered the last read of a peer that can wait. */
	bool may_answer = r->lost && wait_us > 0;

	r->waiting_nr += !w->asked;
	w->asked = true;
	w->nonce = m->nonce;
	w->after = m->after;
	w->due_us = now_us + wait_us;
	r->asked_us = now_us;
	if (!r->revision) {
		refuse(r, host, BB_REGISTRY_STALE, now_us);
		return;
	}
	if (m->era != r->era) {
		refuse(r, host, BB_REGISTRY_OTHER_ERA, now_us);
		return;
	}
	if ((first || may_answer) && !is_recent(r, now_us) && r->reader.asked)
		r->reader.asked(r->reader.data);
	answer_if_due(r, host, now_us);
}

/* What is read from the registry. */

void bb_relay_put(struct bb_relay *r, const struct bb_registry_item *item,
		  int64_t now_us)
{
	bb_registry_copy_put(r->copy, item, now_us);
}

void bb_relay_begin_list(struct bb_relay *r)
{
	bb_registry_copy_begin_list(r->copy);
}

void bb_relay_end_list(struct bb_relay *r, uint64_t revision, int64_t now_us)
{
	bb_registry_copy_end_list(r->copy, revision, now_us);
}

static void confirm(struct bb_relay *r, int64_t era, uint64_t revision,
		    int64_t confirmed_us, int64_t now_us)
{
	r->era = era;
	r->revision = MAX(r->revision, revision);
	r->confirmed_us = MAX(r->confirmed_us, confirmed_us);
	if (!r->first_confirmed_us)
		r->first_confirmed_us = now_us;
	r->lost = false;
	answer_all_due(r, now_us);
}

void bb_relay_confirm(struct bb_relay *r, int64_t era, uint64_t revision,
		      int64_t now_us)
{
	if (*r->upstream) {
		bb_log_event(BB_LOG_CONFIG, G_LOG_LEVEL_INFO, NULL,
			     "registry_upstream", "host=- before=%s",
			     r->upstream);
		*r->upstream = '\0';
	}
	confirm(r, era, revision, now_us, now_us);
}

void bb_relay_read_failed(struct bb_relay *r, bool again, int64_t now_us)
{
	g_hash_table_remove_all(r->shunned);
	if (!again)
		return;
	r->lost = true;
	refuse_all(r, BB_REGISTRY_STALE, now_us);
}

void bb_relay_forget(struct bb_relay *r, int64_t now_us)
{
	r->lost = true;
	bb_registry_copy_clear(r->copy);
	r->revision = 0;
	r->confirmed_us = 0;
	refuse_all(r, BB_REGISTRY_STALE, now_us);
}

/* Reads from peers. */

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Peers that are hosts of the new configuration, too, go on waiting. */
static void move_waiting(struct bb_relay *r, const struct bb_config *to)
{
	struct waiting *moved = g_new0(struct waiting, to->hosts_nr);

	r->waiting_nr = 0;
	for (uint32_t i = 0; r->config && i < r->config->hosts_nr; i++) {
		const char *name = r->config->hosts[i].name;
		uint32_t host = bb_config_find_host(to, name, strlen(name));

		if (host == BB_NO_ROW)
			continue;
		moved[host] = r->waiting[i];
		r->waiting_nr += moved[host].asked;
	}
	g_free(r->waiting);
	r->waiting = moved;
}

void bb_relay_set_config(struct bb_relay *r, const struct bb_config *c)
{
	uint32_t self = bb_config_find_host(c, r->o.self, strlen(r->o.self));
	size_t in_zone = 0;

	move_waiting(r, c);
	r->config = c;
	g_free(r->group);
	r->group = g_new0(struct candidate, c->hosts_nr);
	r->group_nr = 0;
	if (self == BB_NO_ROW)
		return;
	for (uint32_t i = 0; i < c->hosts_nr; i++)
		in_zone += c->hosts[i].zone_id == c->hosts[self].zone_id;
	for (uint32_t i = 0; i < c->hosts_nr; i++)
		if (2 * in_zone < r->o.hosts_per_reader ||
		    c->hosts[i].zone_id == c->hosts[self].zone_id)
			r->group[r->group_nr++] =
				(struct candidate){ rank_of(c->hosts[i].name),
						    i };
	qsort(r->group, r->group_nr, sizeof(*r->group), compare_ranks);
}

static bool is_shunned(const struct bb_relay *r, const char *host,
		       int64_t now_us)
{
	const struct shunned *s = g_hash_table_lookup(r->shunned, host);

	return s && s->until_us > now_us;
}

/*
 * Picks one of the readers before this node, another one for each node so that
 * they share the work; BB_NO_ROW if this node is a reader or no other is in use.
 */
static uint32_t choose_upstream(const struct bb_relay *r, int64_t now_us)
{
	size_t readers = 0, usable = 0, max;
	uint32_t *hosts;
	uint32_t chosen = BB_NO_ROW;

	if (!r->o.hosts_per_reader || !r->group_nr)
		return BB_NO_ROW;
	max = (r->group_nr + r->o.hosts_per_reader - 1) / r->o.hosts_per_reader;
	hosts = g_new(uint32_t, max);
	for (size_t i = 0; i < r->group_nr && readers < max; i++) {
		uint32_t host = r->group[i].host;

		if (r->group[i].rank >= r->self_rank)
			break;
		if (!r->o.alive(r->o.data, host, now_us))
			continue;
		readers++;
		if (!is_shunned(r, r->config->hosts[host].name, now_us))
			hosts[usable++] = host;
	}
	if (readers == max && usable)
		chosen = hosts[r->self_rank / 2 % usable];
	g_free(hosts);
	return chosen;
}

/* A live host of the group, another one with each read. */
static uint32_t choose_any(const struct bb_relay *r, int64_t now_us)
{
	for (size_t i = 0; i < r->group_nr; i++) {
		size_t n = (r->self_rank / 2 + r->nonce + i) % r->group_nr;
		const struct candidate *c = &r->group[n];

		if (c->rank != r->self_rank &&
		    r->o.alive(r->o.data, c->host, now_us) &&
		    !is_shunned(r, r->config->hosts[c->host].name, now_us))
			return c->host;
	}
	return BB_NO_ROW;
}

/* Asks a host, which answers within @wait_us if there is no change; its answer is
 * given up @slack_us later. */
static void ask(struct bb_relay *r, uint32_t host, int64_t era, uint64_t after,
		int64_t wait_us, int64_t slack_us, int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_REGISTRY_READ };
	const char *name = r->config->hosts[host].name;

	if (strcmp(name, r->upstream) != 0)
		bb_log_event(BB_LOG_CONFIG, G_LOG_LEVEL_INFO, NULL,
			     "registry_upstream",
			     "host=%s before=%s revision=%" G_GUINT64_FORMAT,
			     name, *r->upstream ? r->upstream : "-", after);
	g_strlcpy(r->upstream, name, sizeof(r->upstream));
	r->read_nonce = ++r->nonce;
	r->read_after = after;
	r->read_until_us = now_us + wait_us + slack_us;
	m.registry_read.nonce = r->read_nonce;
	m.registry_read.era = era;
	m.registry_read.after = after;
	m.registry_read.wait_ms = (uint32_t)(wait_us / BB_US_PER_MS);
	r->o.send(r->o.data, host, &m);
}

bool bb_relay_read(struct bb_relay *r, int64_t era, uint64_t after,
		   int64_t now_us)
{
	uint32_t host = choose_upstream(r, now_us);

	if (host == BB_NO_ROW)
		return false;
	r->read_any = false;
	ask(r, host, era, after, part_us(r, WAIT_PERCENT),
	    part_us(r, ANSWER_SLACK_PERCENT), now_us);
	return true;
}

bool bb_relay_ask_any(struct bb_relay *r, int64_t era, uint64_t after,
		      int64_t now_us)
{
	uint32_t host = r->o.hosts_per_reader ? choose_any(r, now_us) :
						BB_NO_ROW;

	if (host == BB_NO_ROW)
		return false;
	r->read_any = true;
	ask(r, host, era, after, 0, part_us(r, ANY_SLACK_PERCENT), now_us);
	return true;
}

void bb_relay_cancel(struct bb_relay *r)
{
	r->read_nonce = 0;
}

int64_t bb_relay_watch_us(const struct bb_relay *r, int64_t now_us)
{
	return r->asked_us && now_us - r->asked_us < ASKED_US ?
		       part_us(r, WATCH_PERCENT) :
		       0;
}

int64_t bb_relay_interval_us(const struct bb_relay *r, int64_t now_us)
{
	if (bb_relay_watch_us(r, now_us))
		return part_us(r, INTERVAL_ASKED_PERCENT);
	return part_us(r, now_us - r->first_confirmed_us < START_US ?
				  INTERVAL_START_PERCENT :
				  INTERVAL_PERCENT);
}

static void end_read(struct bb_relay *r,
		     const struct bb_message_registry_changes *m)
{
	r->read_nonce = 0;
	if (r->reader.answered)
		r->reader.answered(r->reader.data, m);
}

/* Returns the time for which the host asked last is not asked. */
static int64_t shun_upstream(struct bb_relay *r, int64_t now_us)
{
	struct shunned *s = g_hash_table_lookup(r->shunned, r->upstream);

	if (!s) {
		s = g_new0(struct shunned, 1);
		g_hash_table_insert(r->shunned, g_strdup(r->upstream), s);
	}
	s->delay_us = CLAMP(2 * s->delay_us, SHUN_MIN_US, SHUN_MAX_US);
	s->until_us = now_us + s->delay_us;
	return s->delay_us;
}

static void fail_read(struct bb_relay *r, const char *reason, bool shun,
		      int64_t now_us)
{
	int64_t delay_us = shun ? shun_upstream(r, now_us) : 0;

	bb_metrics_add(BB_METRIC_REGISTRY_RELAY_FAILURES, 1);
	bb_log_event(BB_LOG_CONFIG, G_LOG_LEVEL_INFO, NULL,
		     "registry_upstream_failed",
		     "host=%s reason=%s revision=%" G_GUINT64_FORMAT
		     " not_asked_ms=%" G_GINT64_FORMAT,
		     r->upstream, reason, r->read_after,
		     delay_us / BB_US_PER_MS);
	end_read(r, NULL);
}

/* Which rule an answer breaks, or NULL. */
static const char *check_changes(const struct bb_relay *r,
				 const struct bb_message_registry_changes *m)
{
	if (m->answer != BB_REGISTRY_CHANGES)
		return bb_registry_answer_string[m->answer];
	if (m->era != r->era)
		return bb_registry_answer_string[BB_REGISTRY_OTHER_ERA];
	if (m->revision < r->read_after)
		return bb_registry_answer_string[BB_REGISTRY_BEHIND];
	if (m->age_ms * BB_US_PER_MS > part_us(r, EVIDENCE_PERCENT))
		return bb_registry_answer_string[BB_REGISTRY_STALE];
	for (size_t i = 0; i < m->items_nr; i++)
		if (!m->items[i].key.size ||
		    m->items[i].revision <= r->read_after)
			return "invalid-item";
	return NULL;
}

static void receive_changes(struct bb_relay *r, uint32_t host,
			    const struct bb_message_registry_changes *m,
			    int64_t now_us)
{
	const char *broken;

	/* Late or not asked for. */
	if (!r->read_nonce || m->nonce != r->read_nonce ||
	    strcmp(r->config->hosts[host].name, r->upstream) != 0)
		return;
	broken = check_changes(r, m);
	if (broken) {
		/* A host that the registry does not answer either may read it
		 * again as soon as this node does. */
		fail_read(r, broken,
			  !r->read_any || m->answer != BB_REGISTRY_STALE,
			  now_us);
		return;
	}
	g_hash_table_remove(r->shunned, r->upstream);
	bb_metrics_add(BB_METRIC_REGISTRY_RELAYED, 1);
	for (size_t i = 0; i < m->items_nr; i++)
		bb_registry_copy_put(r->copy, &m->items[i], now_us);
	confirm(r, m->era, m->revision, now_us - m->age_ms * BB_US_PER_MS,
		now_us);
	end_read(r, m);
}

void bb_relay_receive(struct bb_relay *r, uint32_t host,
		      const struct bb_message *m, int64_t now_us)
{
	if (!r->config || host >= r->config->hosts_nr)
		return;
	if (m->type == BB_MESSAGE_REGISTRY_READ)
		receive_read(r, host, &m->registry_read, now_us);
	else if (m->type == BB_MESSAGE_REGISTRY_CHANGES)
		receive_changes(r, host, &m->registry_changes, now_us);
}

void bb_relay_tick(struct bb_relay *r, int64_t now_us)
{
	answer_all_due(r, now_us);
	if (r->read_nonce && now_us >= r->read_until_us)
		fail_read(r, "no-answer", true, now_us);
	if (now_us - r->expired_us < EXPIRY_INTERVAL_US)
		return;
	r->expired_us = now_us;
	bb_registry_copy_expire(r->copy, now_us);
}

void bb_relay_status(const struct bb_relay *r, int64_t now_us,
		     struct bb_relay_status *out)
{
	out->upstream = *r->upstream ? r->upstream : NULL;
	out->revision = r->revision;
	out->age_us = r->revision ? now_us - r->confirmed_us : -1;
	out->waiting = r->waiting_nr;
}
