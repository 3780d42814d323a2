/*
 * Simulation of the membership of many nodes in one process, for
 * test_member.cc, test_member_start.cc and bench_member.c: message delay, loss,
 * blocked directions of links, pauses and restarts. Time is simulated and each
 * node has its own clock offset. Messages are encoded and decoded as between
 * real nodes.
 *
 * The baseline, all-to-all heartbeats, sends a request to every other node in
 * each interval and relays nothing.
 */
#ifndef BB_MEMBER_SIM_H
#define BB_MEMBER_SIM_H

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/member.h"

#define SIM_STEP_US INT64_C(1000)
/* Slots of the timing wheel, one a step: the longest message delay in steps. */
#define SIM_WHEEL_SLOTS 8192
/*
 * Estimated bytes around a message: IPv4 and TCP headers with timestamps, the
 * CURVE message command, and the ZMTP header of a short or a long frame. An
 * answer costs a TCP acknowledgement as well; a request is acknowledged by
 * its answer.
 */
#define SIM_TCP_BYTES 52
#define SIM_CURVE_BYTES 33
#define SIM_FRAME_BYTES(size) ((size) + SIM_CURVE_BYTES > 255 ? 9 : 2)

static inline size_t sim_wire_bytes(size_t size, bool answer)
{
	return size + SIM_TCP_BYTES + SIM_CURVE_BYTES +
	       (size_t)SIM_FRAME_BYTES(size) + (answer ? SIM_TCP_BYTES : 0);
}

/* An encoded message that has not been received yet. */
struct sim_message {
	uint32_t from;
	uint32_t to;
	char *data;
	size_t size;
};

/*
 * All-to-all heartbeats, by peer. @evidence_us: time, on the node's own clock,
 * at which the latest answered request was sent; @version: the latest version
 * that the peer reported
 */
struct sim_heartbeats {
	int64_t *evidence_us;
	uint64_t *version;
	int64_t next_us;
};

/**
 * struct sim_node - a simulated node.
 * @heartbeats: used instead of @m if the fleet runs all-to-all heartbeats
 * @config: configuration that the node has accepted
 * @clock_offset_us: difference of the node's clock and the simulated time
 * @next_us: time of the next tick
 * @accept_us: time at which the node has fetched a newer version, 0 if it
 *	       fetches none
 * @ran_us: simulated time at which the node last ran
 * @down: does not run and receives nothing
 * @paused: does not run; messages wait in @held_messages
 * @bytes: sent and received, with headers
 */
struct sim_node {
	struct sim *sim;
	uint32_t index;
	struct bb_member *m;
	struct sim_heartbeats heartbeats;
	const struct bb_config *config;
	GRand *rand;
	int64_t clock_offset_us;
	int64_t next_us;
	int64_t accept_us;
	int64_t ran_us;
	bool down;
	bool paused;
	GArray *held_messages;
	uint64_t bytes;
};

/**
 * struct sim - a simulated fleet.
 * @options: options of every membership
 * @all_to_all: runs all-to-all heartbeats instead of bb_member
 * @wheel: timing wheel of the messages under way
 * @loss: probability that a message is lost
 * @blocked: whether messages from i to j are dropped, at i * nr + j
 * @newest: version that nodes fetch when they learn of a newer one
 * @fetch_us: time that this takes, 0 if nodes fetch nothing
 */
struct sim {
	uint32_t nr;
	struct sim_node *nodes;
	struct bb_member_options options;
	bool all_to_all;
	GRand *rand;
	int64_t now_us;
	GArray *wheel[SIM_WHEEL_SLOTS];
	double loss;
	int64_t delay_min_us;
	int64_t delay_max_us;
	uint8_t *blocked;
	const struct bb_config *newest;
	int64_t fetch_us;
	uint64_t messages;
};

/*
 * Configuration with @nr hosts. @first: number of the first one, so that the
 * host lists of two configurations can overlap
 */
static inline struct bb_config *sim_config(uint64_t version, uint32_t first,
					   uint32_t nr)
{
	struct bb_config *c = g_new0(struct bb_config, 1);

	c->version = version;
	c->hosts_nr = nr;
	c->hosts = g_new0(struct bb_host, nr);
	c->seats_hash = 1000003 * (uint64_t)first + nr;
	for (uint32_t i = 0; i < nr; i++)
		c->hosts[i].name = g_strdup_printf("host%u", first + i);
	return c;
}

static inline void sim_config_delete(struct bb_config *c)
{
	for (size_t i = 0; i < c->hosts_nr; i++)
		g_free(c->hosts[i].name);
	g_free(c->hosts);
	g_free(c);
}

static inline int64_t sim_clock(const struct sim_node *n)
{
	return n->sim->now_us + n->clock_offset_us;
}

static inline void sim_send(struct sim *s, uint32_t from, uint32_t to,
			    const struct bb_message *m)
{
	struct sim_message msg;
	int64_t delay = s->delay_min_us;
	size_t wire;

	memset(&msg, 0, sizeof(msg));
	msg.from = from;
	msg.to = to;
	msg.data = bb_wire_encode(m, &msg.size, NULL);
	g_assert(msg.data);
	wire = sim_wire_bytes(msg.size, m->type == BB_MESSAGE_DIGEST);
	s->nodes[from].bytes += wire;
	s->messages++;
	if (s->blocked[(size_t)from * s->nr + to] ||
	    g_rand_double(s->rand) < s->loss) {
		free(msg.data);
		return;
	}
	s->nodes[to].bytes += wire;
	if (s->delay_max_us > s->delay_min_us)
		delay = g_rand_int_range(s->rand, (gint32)s->delay_min_us,
					 (gint32)s->delay_max_us);
	g_array_append_val(
		s->wheel[(s->now_us + delay) / SIM_STEP_US % SIM_WHEEL_SLOTS],
		msg);
}

static inline void sim_member_send(void *data, uint32_t host,
				   const struct bb_message *m)
{
	struct sim_node *n = (struct sim_node *)data;

	sim_send(n->sim, n->index, host, m);
}

/* Starts to fetch the newest version, as a node that hears of a newer one. */
static inline void sim_on_newer_version(void *data, uint32_t host,
					uint64_t version)
{
	struct sim_node *n = (struct sim_node *)data;

	(void)host;
	(void)version;
	if (n->sim->fetch_us && !n->accept_us)
		n->accept_us = n->sim->now_us + n->sim->fetch_us;
}

/* Starts or restarts a node. */
static inline void sim_start(struct sim *s, uint32_t i,
			     const struct bb_config *config)
{
	struct sim_node *n = &s->nodes[i];
	struct bb_member_options o = s->options;

	n->config = config;
	n->down = n->paused = false;
	n->accept_us = 0;
	n->next_us = s->now_us;
	if (s->all_to_all) {
		for (uint32_t j = 0; j < s->nr; j++)
			n->heartbeats.evidence_us[j] = INT64_MIN / 4;
		return;
	}
	o.config = config;
	o.name = config->hosts[i].name;
	o.incarnation = g_rand_int(n->rand);
	o.rand = n->rand;
	o.send = sim_member_send;
	o.newer_version = sim_on_newer_version;
	o.data = n;
	bb_member_delete(n->m);
	n->m = bb_member_new(&o, NULL);
	g_assert(n->m);
}

static inline struct sim *sim_new(uint32_t nr, uint32_t seed,
				  const struct bb_config *config,
				  const struct bb_member_options *o,
				  bool all_to_all)
{
	struct sim *s = g_new0(struct sim, 1);

	s->nr = nr;
	s->all_to_all = all_to_all;
	s->rand = g_rand_new_with_seed(seed);
	s->delay_min_us = 500;
	s->delay_max_us = 2000;
	s->now_us = 10 * G_USEC_PER_SEC;
	s->blocked = g_new0(uint8_t, (size_t)nr * nr);
	if (o)
		s->options = *o;
	s->nodes = g_new0(struct sim_node, nr);
	for (uint32_t i = 0; i < SIM_WHEEL_SLOTS; i++)
		s->wheel[i] =
			g_array_new(FALSE, FALSE, sizeof(struct sim_message));
	for (uint32_t i = 0; i < nr; i++) {
		struct sim_node *n = &s->nodes[i];

		n->sim = s;
		n->index = i;
		n->rand = g_rand_new_with_seed(seed * 7919 + i);
		n->clock_offset_us = g_rand_int_range(s->rand, 0, 1000000000);
		n->held_messages =
			g_array_new(FALSE, FALSE, sizeof(struct sim_message));
		n->heartbeats.evidence_us = g_new0(int64_t, nr);
		n->heartbeats.version = g_new0(uint64_t, nr);
		/*
		 * A node that is not in the host list can be started later
		 * with a configuration that has it.
		 */
		n->down = i >= config->hosts_nr;
		if (!n->down)
			sim_start(s, i, config);
		/* Nodes of a fleet are not started at the same moment. */
		n->next_us += g_rand_int_range(s->rand, 0, 700000);
	}
	return s;
}

static inline void sim_delete(struct sim *s)
{
	for (uint32_t i = 0; i < SIM_WHEEL_SLOTS; i++) {
		for (guint k = 0; k < s->wheel[i]->len; k++)
			free(g_array_index(s->wheel[i], struct sim_message, k)
				     .data);
		g_array_free(s->wheel[i], TRUE);
	}
	for (uint32_t i = 0; i < s->nr; i++) {
		for (guint k = 0; k < s->nodes[i].held_messages->len; k++)
			free(g_array_index(s->nodes[i].held_messages,
					   struct sim_message, k)
				     .data);
		g_array_free(s->nodes[i].held_messages, TRUE);
		bb_member_delete(s->nodes[i].m);
		g_rand_free(s->nodes[i].rand);
		g_free(s->nodes[i].heartbeats.evidence_us);
		g_free(s->nodes[i].heartbeats.version);
	}
	g_free(s->nodes);
	g_free(s->blocked);
	g_rand_free(s->rand);
	g_free(s);
}

/* All-to-all heartbeats: the nonce carries the time of the request. */
static inline void sim_heartbeats_receive(struct sim_node *n, uint32_t from,
					  const struct bb_message *m)
{
	struct bb_message reply;

	if (m->type == BB_MESSAGE_DIGEST) {
		n->heartbeats.evidence_us[from] =
			MAX(n->heartbeats.evidence_us[from],
			    (int64_t)m->digest.nonce);
		n->heartbeats.version[from] = MAX(n->heartbeats.version[from],
						  m->digest.config_version);
		if (m->digest.config_version > n->config->version)
			sim_on_newer_version(n, from, m->digest.config_version);
		return;
	}
	memset(&reply, 0, sizeof(reply));
	reply.type = BB_MESSAGE_DIGEST;
	reply.digest.nonce = m->digest_request.nonce;
	reply.digest.config_version = n->config->version;
	reply.digest.seats_hash = n->config->seats_hash;
	sim_send(n->sim, n->index, from, &reply);
}

static inline void sim_deliver(struct sim *s, const struct sim_message *msg)
{
	struct sim_node *n = &s->nodes[msg->to];
	struct bb_decoded_message *d;
	const struct bb_message *reply;

	if (n->down) {
		free(msg->data);
		return;
	}
	if (n->paused) {
		g_array_append_val(n->held_messages, *msg);
		return;
	}
	d = bb_wire_decode(msg->data, msg->size, NULL);
	g_assert(d);
	if (s->all_to_all) {
		sim_heartbeats_receive(n, msg->from, bb_decoded_message_get(d));
	} else {
		reply = bb_member_receive(n->m, msg->from,
					  bb_decoded_message_get(d),
					  sim_clock(n));
		if (reply)
			sim_send(s, msg->to, msg->from, reply);
	}
	bb_decoded_message_delete(d);
	free(msg->data);
}

static inline void sim_heartbeats_tick(struct sim_node *n)
{
	struct bb_message m;

	memset(&m, 0, sizeof(m));
	m.type = BB_MESSAGE_DIGEST_REQUEST;
	m.digest_request.nonce = (uint64_t)sim_clock(n);
	m.digest_request.config_version = n->config->version;
	for (uint32_t j = 0; j < n->sim->nr; j++) {
		if (j != n->index)
			sim_send(n->sim, n->index, j, &m);
	}
	n->next_us += n->sim->options.interval_us;
}

static inline void sim_accept(struct sim_node *n, const struct bb_config *c)
{
	n->config = c;
	n->accept_us = 0;
	if (n->m)
		bb_member_update(n->m, c, sim_clock(n), NULL);
}

static inline void sim_node_step(struct sim_node *n)
{
	struct sim *s = n->sim;

	if (n->down || n->paused)
		return;
	n->ran_us = s->now_us;
	if (n->accept_us && n->accept_us <= s->now_us)
		sim_accept(n, s->newest);
	if (s->now_us < n->next_us)
		return;
	if (s->all_to_all)
		sim_heartbeats_tick(n);
	else
		n->next_us =
			bb_member_tick(n->m, sim_clock(n)) - n->clock_offset_us;
}

static inline void sim_run(struct sim *s, int64_t duration_us)
{
	int64_t end_us = s->now_us + duration_us;

	for (; s->now_us < end_us; s->now_us += SIM_STEP_US) {
		GArray *slot =
			s->wheel[s->now_us / SIM_STEP_US % SIM_WHEEL_SLOTS];

		for (guint k = 0; k < slot->len; k++) {
			struct sim_message msg =
				g_array_index(slot, struct sim_message, k);

			sim_deliver(s, &msg);
		}
		g_array_set_size(slot, 0);
		for (uint32_t i = 0; i < s->nr; i++)
			sim_node_step(&s->nodes[i]);
	}
}

static inline void sim_pause(struct sim *s, uint32_t i)
{
	s->nodes[i].paused = true;
}

/* Messages that came in during the pause are received before the next tick. */
static inline void sim_resume(struct sim *s, uint32_t i)
{
	struct sim_node *n = &s->nodes[i];

	n->paused = false;
	for (guint k = 0; k < n->held_messages->len; k++) {
		struct sim_message msg =
			g_array_index(n->held_messages, struct sim_message, k);

		sim_deliver(s, &msg);
	}
	g_array_set_size(n->held_messages, 0);
}

/*
 * Blocks or unblocks messages from the nodes @a to before @a_end to the nodes
 * @b to before @b_end, in this direction only.
 */
static inline void sim_block(struct sim *s, uint32_t a, uint32_t a_end,
			     uint32_t b, uint32_t b_end, bool blocked)
{
	for (uint32_t i = a; i < a_end; i++) {
		for (uint32_t j = b; j < b_end; j++)
			s->blocked[(size_t)i * s->nr + j] = blocked;
	}
}

/* Whether a node has recent evidence of a quorum of nodes. */
static inline bool sim_quorum(struct sim *s, uint32_t i)
{
	struct sim_node *n = &s->nodes[i];
	size_t fresh = 1;

	if (!s->all_to_all)
		return bb_member_has_quorum(n->m, sim_clock(n));
	for (uint32_t j = 0; j < s->nr; j++)
		fresh += j != i &&
			 sim_clock(n) - n->heartbeats.evidence_us[j] <=
				 BB_MEMBER_DEFAULT_FRESHNESS_US;
	return fresh >= bb_member_quorum_size(s->nr);
}

#endif
